package saltdale.rig.platform.live;

import java.util.SplittableRandom;

/** What may befall a machine of a soak. */
enum SoakTrouble {
    PROXY_KILLED(Of.PROXY),
    PROXY_PAUSED(Of.PROXY),
    PROXY_TERMINATED(Of.PROXY),
    /** From all control nodes. */
    PROXY_CUT(Of.PROXY),
    /** From one control node. */
    PROXY_CUT_FROM_ONE(Of.PROXY),
    CONTROL_KILLED(Of.CORE),
    CONTROL_PAUSED(Of.CORE),
    CONTROL_TERMINATED(Of.CORE),
    /** From the other control nodes; proxies reach it. */
    CONTROL_CUT(Of.CORE),
    CONTROL_CUT_ONE_WAY(Of.CORE),
    /** From all other machines. */
    CONTROL_CUT_OFF(Of.CORE),
    ALL_CONTROL_NODES_KILLED(Of.CORE),
    /** Half of the control nodes from the others; proxies reach both. */
    HALVES_CUT(Of.CORE),
    CONTROL_WIPED(Of.DISK),
    CONTROL_REPLACED(Of.DISK),
    CONTROL_REPLACED_AS_PLANNED(Of.DISK);

    /** What it concerns. */
    enum Of {
        PROXY,
        CORE,
        /** A disk is lost: no other control node may be in trouble until it has caught up. */
        DISK
    }

    private final Of of;

    SoakTrouble(Of of) {
        this.of = of;
    }

    boolean ofProxy() {
        return of == Of.PROXY;
    }

    boolean losesDisk() {
        return of == Of.DISK;
    }

    /** One that no disk is lost by, of a proxy or of the core. */
    static SoakTrouble drawn(SplittableRandom chance, boolean ofProxy) {
        SoakTrouble drawn;
        do {
            drawn = values()[chance.nextInt(values().length)];
        } while (drawn.losesDisk() || drawn.ofProxy() != ofProxy);
        return drawn;
    }

    /** One that a disk is lost by. */
    static SoakTrouble drawnLoss(SplittableRandom chance) {
        SoakTrouble[] losses = {CONTROL_WIPED, CONTROL_REPLACED, CONTROL_REPLACED_AS_PLANNED};
        return losses[chance.nextInt(losses.length)];
    }
}
