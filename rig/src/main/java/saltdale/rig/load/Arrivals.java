package saltdale.rig.load;

import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;
import saltdale.rig.plan.Job;
import saltdale.rig.plan.Traffic;

/**
 * The asks of a day by their intended times, fixed beforehand: a Poisson process whose rate follows the
 * shape, made by thinning. Nothing that happens later moves one of them.
 */
public final class Arrivals implements Iterator<Ask> {
    private final Traffic traffic;
    private final List<Job> jobs;
    private final double allShares;
    private final double end;
    private final SplittableRandom chance;
    private double at;
    private long number;
    private Ask next;

    public Arrivals(Traffic traffic, List<Job> jobs, Duration length, long seed) {
        this.traffic = traffic;
        this.jobs = jobs;
        this.allShares = jobs.stream().mapToDouble(Job::share).sum();
        this.end = length.toNanos() / 1e9;
        this.chance = new SplittableRandom(seed);
        advance();
    }

    private void advance() {
        double most = traffic.rate()
                * (1 + traffic.swing())
                * (traffic.peak() == null ? 1 : traffic.peak().times());
        next = null;
        while (next == null) {
            at -= Math.log(1 - chance.nextDouble()) / most;
            if (at >= end) {
                return;
            }
            if (chance.nextDouble() * most < rate(at)) {
                Job job = draw();
                next = new Ask(
                        number++,
                        Duration.ofNanos((long) (at * 1e9)),
                        job,
                        job.size().draw(chance));
            }
        }
    }

    /** First tries a second at this time, in seconds since the start. */
    double rate(double time) {
        double phase = time / (traffic.period().toNanos() / 1e9);
        double swing = traffic.swing();
        double peak = traffic.peak() == null ? 1 : traffic.peak().times(time);
        return peak
                * traffic.rate()
                * switch (traffic.shape()) {
                    case STEADY -> 1;
                    case BURST -> phase % 1 < 0.2 ? 1 + swing : 1 - swing / 4; // a fifth of the time
                    case SWELL -> 1 + swing * Math.sin(2 * Math.PI * phase);
                    case STEP -> phase < 1 ? 1 - swing : 1 + swing;
                    // from its least, over noon, to its least
                    case DAY -> 1 - swing * Math.cos(2 * Math.PI * time / end);
                };
    }

    private Job draw() {
        double drawn = chance.nextDouble() * allShares;
        for (Job job : jobs) {
            drawn -= job.share();
            if (drawn < 0) {
                return job;
            }
        }
        return jobs.get(jobs.size() - 1);
    }

    @Override
    public boolean hasNext() {
        return next != null;
    }

    @Override
    public Ask next() {
        if (next == null) {
            throw new NoSuchElementException();
        }
        Ask now = next;
        advance();
        return now;
    }
}
