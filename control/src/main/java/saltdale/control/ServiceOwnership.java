package saltdale.control;

import java.util.Collection;

/**
 * Assigns each service in each zone to a member by rendezvous hashing. All processes that know the same members agree
 * on the owner, and few services change their owner when a member joins or leaves.
 */
public final class ServiceOwnership {
    private ServiceOwnership() {}

    /**
     * Returns the owner of the service's instances in this zone. In a zone without members, a member of another zone
     * owns them.
     */
    public static Member ownerOf(String service, String zone, Collection<Member> members) {
        Member own = highestWeight(service, zone, members);
        return own == null ? highestWeight(service, null, members) : own;
    }

    private static Member highestWeight(String service, String zone, Collection<Member> members) {
        Member best = null;
        long bestWeight = 0;
        for (Member each : members) {
            if (!each.leaving() && (zone == null || each.zone().equals(zone))) {
                long weight = mix(
                        service.hashCode() * 0x9E3779B97F4A7C15L ^ each.name().hashCode());
                if (best == null
                        || weight > bestWeight
                        || weight == bestWeight && each.name().compareTo(best.name()) < 0) {
                    best = each;
                    bestWeight = weight;
                }
            }
        }
        return best;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }
}
