package saltdale.rig.load;

import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;
import saltdale.rig.plan.PlannedWorkload;
import saltdale.rig.plan.Traffic;

/**
 * The asks of a day by their intended times, fixed beforehand: a Poisson process whose rate follows the
 * shape, made by thinning. Nothing that happens later moves one of them.
 */
public final class Arrivals implements Iterator<ClientRequest> {
    private final Traffic traffic;
    private final List<PlannedWorkload> workloads;
    private final double shareSum;
    private final double end;
    private final SplittableRandom random;
    private double at;
    private long number;
    private ClientRequest nextRequest;

    public Arrivals(Traffic traffic, List<PlannedWorkload> workloads, Duration length, long seed) {
        this.traffic = traffic;
        this.workloads = workloads;
        this.shareSum = workloads.stream().mapToDouble(PlannedWorkload::share).sum();
        this.end = length.toNanos() / 1e9;
        this.random = new SplittableRandom(seed);
        advance();
    }

    private void advance() {
        double maxRate = traffic.rate()
                * (1 + traffic.swing())
                * (traffic.peak() == null ? 1 : traffic.peak().factor());
        nextRequest = null;
        while (nextRequest == null) {
            at -= Math.log(1 - random.nextDouble()) / maxRate;
            if (at >= end) {
                return;
            }
            if (random.nextDouble() * maxRate < rate(at)) {
                PlannedWorkload job = drawWorkload();
                nextRequest = new ClientRequest(
                        number++,
                        Duration.ofNanos((long) (at * 1e9)),
                        job,
                        job.size().sample(random));
            }
        }
    }

    /** First tries a second at this time, in seconds since the start. */
    double rate(double time) {
        double phase = time / (traffic.period().toNanos() / 1e9);
        double swing = traffic.swing();
        double peak = traffic.peak() == null ? 1 : traffic.peak().factorAt(time);
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

    private PlannedWorkload drawWorkload() {
        double drawn = random.nextDouble() * shareSum;
        for (PlannedWorkload job : workloads) {
            drawn -= job.share();
            if (drawn < 0) {
                return job;
            }
        }
        return workloads.get(workloads.size() - 1);
    }

    @Override
    public boolean hasNext() {
        return nextRequest != null;
    }

    @Override
    public ClientRequest next() {
        if (nextRequest == null) {
            throw new NoSuchElementException();
        }
        ClientRequest result = nextRequest;
        advance();
        return result;
    }
}
