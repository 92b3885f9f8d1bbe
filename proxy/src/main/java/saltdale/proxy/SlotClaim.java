package saltdale.proxy;

import java.util.Set;

/** A request that asks an owner for a slot. */
final class SlotClaim {
    final String key;
    /** The life of the proxy that asks. */
    final String life;
    /** Where it is; null: this proxy asks itself. */
    final String host;

    final long number;
    final String zone;
    final long deadline;
    final long targetAt;
    final int priority;
    final Set<String> avoidedInstances;
    final int hops; // so often it was sent from zone to zone
    long toldAt; // that it waits; 0: not yet

    SlotClaim(
            String key,
            String life,
            String host,
            long number,
            String zone,
            long deadline,
            long targetAt,
            int priority,
            Set<String> avoidedInstances,
            int hops) {
        this.key = key;
        this.life = life;
        this.host = host;
        this.number = number;
        this.zone = zone;
        this.deadline = deadline;
        this.targetAt = targetAt;
        this.priority = priority;
        this.avoidedInstances = avoidedInstances;
        this.hops = hops;
    }

    /** Names a grant: the life of the proxy that asked, and the number of its question. */
    static String key(String life, long number) {
        return life + "." + number;
    }
}
