package saltdale.rig.load;

import java.time.Duration;
import java.util.SplittableRandom;
import saltdale.model.Workload;
import saltdale.rig.judge.Witness.Final;
import saltdale.rig.plan.Traffic;

/** Whether and when clients try again: waits that double, with jitter, and a budget over all of them. */
public final class Persistence {
    private static final double FREE_TRIES = 10; // of the budget, so that a quiet time is no ban

    private final Traffic traffic;
    private final SplittableRandom chance;
    private double earned = FREE_TRIES;

    public Persistence(Traffic traffic, SplittableRandom chance) {
        this.traffic = traffic;
        this.chance = chance;
    }

    /** A first try has been sent: it earns its part of a further one. */
    public void firstTry() {
        earned = Math.min(FREE_TRIES * 100, earned + traffic.budget());
    }

    /** Whether the client of this first try goes away before its answer. */
    public boolean leaves() {
        return traffic.leave() > 0 && chance.nextDouble() < traffic.leave();
    }

    /**
     * How long a client waits before its next try; null where it gives up.
     *
     * @param tries that it has made
     * @param how its last one ended; null where no answer came
     * @param pause that the answer asked for; null for none
     * @param firstAt when the first try was sent, for the window of receipts
     */
    public Duration next(Workload workload, int tries, Final how, Duration pause, Duration now, Duration firstAt) {
        if (how == Final.FULFILLED || tries > traffic.retries() || !mayRepeat(workload, how, now, firstAt)) {
            return null;
        }
        if (traffic.budget() < 1) {
            if (earned < 1) {
                return null;
            }
            earned -= 1;
        }
        double wait = traffic.firstWait().toNanos() * Math.pow(2, tries - 1);
        wait *= 1 - traffic.jitter() * chance.nextDouble();
        if (pause != null && traffic.honoursPause()) {
            wait = Math.max(wait, pause.toNanos());
        }
        return Duration.ofNanos((long) wait);
    }

    /** A shed one did not run; else only what drops repeats anywhere may be asked for again. */
    private boolean mayRepeat(Workload workload, Final how, Duration now, Duration firstAt) {
        return how == Final.SHED
                || workload.repeatSafety == Workload.RepeatSafety.PURE
                || workload.repeatSafety == Workload.RepeatSafety.RECEIPTED
                        && workload.dedupScope == Workload.DedupScope.ALL
                        && now.compareTo(firstAt.plus(workload.dedupWindow)) < 0;
    }
}
