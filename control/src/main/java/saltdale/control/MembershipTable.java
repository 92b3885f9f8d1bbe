package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltdale.control.message.HeartbeatMessage.Renewal;

/**
 * The leases of members, merged from what all control nodes hear: each renewal counts up, and the highest count is the
 * newest.
 */
final class MembershipTable {
    private static final class Lease {
        Member member;
        long count;
        long heardAt;
        boolean untold; // to the other control nodes
    }

    /** The members at one time; their digest tells whether two know the same. */
    record View(Map<String, Member> byLife, String digest, long edition) {}

    private static final int MOST_VIEWS = 64;

    private final long length;
    private final Map<String, Lease> leases = new TreeMap<>(); // by life
    private final Map<String, Long> ended = new LinkedHashMap<>(); // lives that are over, and since when
    private final Map<String, View> views = new LinkedHashMap<>(); // those of late, by digest
    private View view = new View(Map.of(), "", 0);
    private SetDigest digest = SetDigest.EMPTY; // of the members of the view
    private long edition;

    MembershipTable(long length) {
        this.length = length;
    }

    /** Changes whenever who is a member does. */
    long edition() {
        return edition;
    }

    Collection<Member> members() {
        return view().byLife().values();
    }

    /** The members as they are now; the same object until that changes. */
    View view() {
        if (view.edition() != edition) {
            Map<String, Member> byLife = new TreeMap<>();
            leases.forEach((life, lease) -> byLife.put(life, lease.member));
            digest = digest.updated(view.byLife(), byLife);
            view = new View(byLife, digest.text(), edition);
            views.put(view.digest(), view);
            if (views.size() > MOST_VIEWS) {
                views.remove(views.keySet().iterator().next());
            }
        }
        return view;
    }

    /** Members as they were of late by their digest; null where that is not known. */
    View recentView(String digest) {
        return view().digest().equals(digest) ? view : views.get(digest);
    }

    Member member(String life) {
        Lease lease = leases.get(life);
        return lease == null ? null : lease.member;
    }

    /** A renewal, heard from the member itself or of another control node. */
    void renew(Member member, long count, long now, boolean itself) {
        if (ended.containsKey(member.incarnation())) {
            return;
        }
        Lease lease = leases.get(member.incarnation());
        if (lease == null) {
            // Another life of the same name is over: a machine runs one at a time, and the later one is heard anew.
            leases.values().removeIf(other -> other.member.name().equals(member.name()) && end(other, now));
            lease = new Lease();
            lease.member = member;
            lease.count = -1;
            leases.put(member.incarnation(), lease);
            edition++;
        }
        if (count > lease.count) {
            edition += lease.member.equals(member) ? 0 : 1;
            lease.member = member;
            lease.count = count;
            lease.heardAt = now;
            lease.untold |= itself;
        }
    }

    private boolean end(Lease lease, long now) {
        ended.put(lease.member.incarnation(), now);
        return true;
    }

    /** Ends the leases that were not renewed. */
    void expire(long now) {
        int before = leases.size();
        leases.values().removeIf(lease -> now - lease.heardAt > length && end(lease, now));
        edition += before == leases.size() ? 0 : 1;
        for (Iterator<Long> i = ended.values().iterator(); i.hasNext() && now - i.next() > 20 * length; ) {
            i.remove();
        }
    }

    /** The lives that are over of late, by what this control node knows. */
    List<String> recentlyEnded(long now) {
        return ended.entrySet().stream()
                .filter(e -> now - e.getValue() < length)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Lives that are over by what another control node knows: agreed, or both would count other owners. */
    void markEnded(List<String> lives, long now) {
        for (String life : lives) {
            if (ended.putIfAbsent(life, now) == null && leases.remove(life) != null) {
                edition++;
            }
        }
    }

    /** What has been heard from members themselves since the last time this was asked. */
    List<Renewal> takeUnreportedRenewals() {
        List<Renewal> all = new ArrayList<>();
        for (Lease lease : leases.values()) {
            if (lease.untold) {
                lease.untold = false;
                all.add(new Renewal(lease.member, lease.count));
            }
        }
        return all;
    }

    void mergeRenewals(List<Renewal> renewals, long now) {
        renewals.forEach(renewal -> renew(renewal.member(), renewal.count(), now, false));
    }
}
