package saltdale.control;

import java.util.List;

/** What a control node is told of its machine and of the deployment; spans in nanoseconds. */
public record ControlNodeSettings(
        String name,
        String host,
        String zone,
        List<String> seeds,
        boolean firstStart,
        ToleratedLosses toleratedLosses,
        long heartbeat,
        long acknowledge,
        long drain,
        Platform.Rates rates) {
    /** A control node that heard of no majority for so long answers nothing, and a duty's holder does nothing. */
    long lease() {
        return heartbeat + heartbeat / 4;
    }

    /**
     * A dispatcher may act as a member for so long after a majority could have heard of it; control nodes count a
     * little longer.
     */
    long memberLease() {
        return heartbeat + heartbeat / 2;
    }

    /**
     * A control node unheard for so long has lost its duties; longer than the lease, however late its last word
     * came.
     */
    long vacancy() {
        return lease() + heartbeat / 2;
    }
}
