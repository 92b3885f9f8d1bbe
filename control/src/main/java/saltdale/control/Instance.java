package saltdale.control;

import java.util.List;

/**
 * The known state of one instance. An instance only moves to later phases, and a restarted one gets a new identifier.
 */
public record Instance(String id, String service, String address, String zone, String worker, Phase phase, int slots) {
    /** The phases of an instance in their order; of two copies the one with the later phase is valid. */
    public enum Phase {
        /** Started, and not yet accepting connections as far as known. */
        BOOTING,
        READY,
        /** Gets no new requests: it drains, or it is about to be stopped. */
        LEAVING,
        GONE
    }

    /** A copy of this instance in another phase. */
    public Instance withPhase(Phase newPhase) {
        return new Instance(id, service, address, zone, worker, newPhase, slots);
    }

    /** The fields in the order in which messages carry them. */
    public List<Object> tree() {
        return List.of(id, service, address, zone, worker, phase.ordinal(), slots);
    }

    /** Reads an instance from the fields that {@link #tree()} returns. */
    public static Instance of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() >= 7
                && list.get(0) instanceof String id
                && list.get(1) instanceof String service
                && list.get(2) instanceof String address
                && list.get(3) instanceof String zone
                && list.get(4) instanceof String worker
                && list.get(5) instanceof Long phase
                && phase >= 0
                && phase < Phase.values().length
                && list.get(6) instanceof Long slots) {
            return new Instance(id, service, address, zone, worker, Phase.values()[phase.intValue()], slots.intValue());
        }
        throw new MalformedMessage("is not an instance");
    }
}
