package saltdale.proxy;

import java.util.Set;

/** A request's claim for a slot, as the owner of the service handles it. */
final class SlotClaim {
    /** Identifies the claim and the grant made for it, see {@link #key(String, long)}. */
    final String key;
    /** The incarnation of the requesting proxy. */
    final String incarnation;
    /** The host of the requesting proxy; null if it is this proxy. */
    final String host;

    final long number; // of the slot request, chosen by the requesting proxy
    final String zone; // of the requesting proxy
    final long deadline;
    final long targetAt; // when the answer counts as late
    final int priority; // the lowest first; negative for nested requests
    final Set<String> avoidedInstances;
    final int zoneHops; // how often the request was redirected to another zone
    long queuedSentAt; // when the requester was last informed that the claim is queued; 0: never

    SlotClaim(
            String key,
            String incarnation,
            String host,
            long number,
            String zone,
            long deadline,
            long targetAt,
            int priority,
            Set<String> avoidedInstances,
            int zoneHops) {
        this.key = key;
        this.incarnation = incarnation;
        this.host = host;
        this.number = number;
        this.zone = zone;
        this.deadline = deadline;
        this.targetAt = targetAt;
        this.priority = priority;
        this.avoidedInstances = avoidedInstances;
        this.zoneHops = zoneHops;
    }

    /** The key of a claim: the incarnation of the requesting proxy and the number of its slot request. */
    static String key(String incarnation, long number) {
        return incarnation + "." + number;
    }
}
