package saltdale.control;

import java.util.List;

/** One life of an instance, as known; what is known of it only moves forward. */
public record Instance(String id, String service, String address, String zone, String worker, Phase phase, int slots) {
    /** In the order in which they follow one another; of two copies the later one is right. */
    public enum Phase {
        /** Started, and not yet seen to answer. */
        BOOTING,
        READY,
        /** Gets nothing new: it drains, or we are about to stop it. */
        LEAVING,
        GONE
    }

    public Instance withPhase(Phase later) {
        return new Instance(id, service, address, zone, worker, later, slots);
    }

    public List<Object> tree() {
        return List.of(id, service, address, zone, worker, phase.ordinal(), slots);
    }

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
        throw new MalformedMessage("is no instance");
    }
}
