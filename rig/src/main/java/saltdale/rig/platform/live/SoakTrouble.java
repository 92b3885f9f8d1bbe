package saltdale.rig.platform.live;

import java.util.SplittableRandom;

/** What may befall a machine target a soak. */
enum SoakTrouble {
    PROXY_KILLED(Target.PROXY),
    PROXY_PAUSED(Target.PROXY),
    PROXY_TERMINATED(Target.PROXY),
    /** From all control nodes. */
    PROXY_CUT(Target.PROXY),
    /** From one control node. */
    PROXY_CUT_FROM_ONE(Target.PROXY),
    CONTROL_KILLED(Target.CORE),
    CONTROL_PAUSED(Target.CORE),
    CONTROL_TERMINATED(Target.CORE),
    /** From the other control nodes; proxies reach it. */
    CONTROL_CUT(Target.CORE),
    CONTROL_CUT_ONE_WAY(Target.CORE),
    /** From all other machines. */
    CONTROL_CUT_OFF(Target.CORE),
    ALL_CONTROL_NODES_KILLED(Target.CORE),
    /** Half target the control nodes from the others; proxies reach both. */
    HALVES_CUT(Target.CORE),
    CONTROL_WIPED(Target.DISK),
    CONTROL_REPLACED(Target.DISK),
    CONTROL_REPLACED_AS_PLANNED(Target.DISK);

    /** What it concerns. */
    enum Target {
        PROXY,
        CORE,
        /** A disk is lost: no other control node may be in trouble until it has caught up. */
        DISK
    }

    private final Target target;

    SoakTrouble(Target target) {
        this.target = target;
    }

    boolean targetsProxy() {
        return target == Target.PROXY;
    }

    boolean losesDisk() {
        return target == Target.DISK;
    }

    /** One that no disk is lost by, target a proxy or target the core. */
    static SoakTrouble draw(SplittableRandom random, boolean targetsProxy) {
        SoakTrouble drawn;
        do {
            drawn = values()[random.nextInt(values().length)];
        } while (drawn.losesDisk() || drawn.targetsProxy() != targetsProxy);
        return drawn;
    }

    /** One that a disk is lost by. */
    static SoakTrouble drawDiskLoss(SplittableRandom random) {
        SoakTrouble[] losses = {CONTROL_WIPED, CONTROL_REPLACED, CONTROL_REPLACED_AS_PLANNED};
        return losses[random.nextInt(losses.length)];
    }
}
