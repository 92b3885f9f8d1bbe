package saltdale.control;

import java.util.Collection;

/**
 * Which member of a zone owns a service, by rendezvous hashing: alike at all who know the same members, and few
 * services move with one of them.
 */
public final class ServiceOwnership {
    private ServiceOwnership() {}

    /** The owner of the service's instances in this zone; where the zone has no member, one of another adopts them. */
    public static Member ownerOf(String service, String zone, Collection<Member> members) {
        Member own = heaviest(service, zone, members);
        return own == null ? heaviest(service, null, members) : own;
    }

    private static Member heaviest(String service, String zone, Collection<Member> members) {
        Member best = null;
        long most = 0;
        for (Member each : members) {
            if (!each.leaving() && (zone == null || each.zone().equals(zone))) {
                long weight = mixed(
                        service.hashCode() * 0x9E3779B97F4A7C15L ^ each.name().hashCode());
                if (best == null
                        || weight > most
                        || weight == most && each.name().compareTo(best.name()) < 0) {
                    best = each;
                    most = weight;
                }
            }
        }
        return best;
    }

    private static long mixed(long z) {
        long a = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }
}
