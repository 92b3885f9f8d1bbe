package saltdale.rig.platform.live;

import java.util.SplittableRandom;

/** The faults of machines in a soak. */
enum SoakFault {
    PROXY_KILLED(Target.PROXY),
    PROXY_PAUSED(Target.PROXY),
    PROXY_TERMINATED(Target.PROXY),
    /** By SIGHUP. */
    PROXY_RELOADED(Target.PROXY),
    /** From all control nodes. */
    PROXY_CUT(Target.PROXY),
    /** From one control node. */
    PROXY_CUT_FROM_ONE(Target.PROXY),
    CONTROL_KILLED(Target.CORE),
    CONTROL_PAUSED(Target.CORE),
    CONTROL_TERMINATED(Target.CORE),
    /** By SIGHUP. */
    CONTROL_RELOADED(Target.CORE),
    /** From the other control nodes; proxies still reach it. */
    CONTROL_CUT(Target.CORE),
    CONTROL_CUT_ONE_WAY(Target.CORE),
    /** From all other machines. */
    CONTROL_CUT_OFF(Target.CORE),
    ALL_CONTROL_NODES_KILLED(Target.CORE),
    /** Half of the control nodes from the others; proxies reach both. */
    HALVES_CUT(Target.CORE),
    CONTROL_WIPED(Target.DISK),
    CONTROL_REPLACED(Target.DISK),
    CONTROL_REPLACED_AS_PLANNED(Target.DISK);

    /** What a fault concerns. */
    enum Target {
        PROXY,
        CORE,
        /** A disk is lost: no other control node may have a fault until the affected one has caught up. */
        DISK
    }

    private final Target target;

    SoakFault(Target target) {
        this.target = target;
    }

    boolean targetsProxy() {
        return target == Target.PROXY;
    }

    /** Whether a proxy with this fault must still answer every request that it has read. */
    boolean isPlanned() {
        return this == PROXY_TERMINATED || this == PROXY_RELOADED || this == CONTROL_RELOADED;
    }

    boolean losesDisk() {
        return target == Target.DISK;
    }

    /** Draws a fault without loss of a disk, either of a proxy or of the core. */
    static SoakFault draw(SplittableRandom random, boolean targetsProxy) {
        SoakFault drawn;
        do {
            drawn = values()[random.nextInt(values().length)];
        } while (drawn.losesDisk() || drawn.targetsProxy() != targetsProxy);
        return drawn;
    }

    /** Draws a fault with loss of a disk. */
    static SoakFault drawDiskLoss(SplittableRandom random) {
        SoakFault[] losses = {CONTROL_WIPED, CONTROL_REPLACED, CONTROL_REPLACED_AS_PLANNED};
        return losses[random.nextInt(losses.length)];
    }
}
