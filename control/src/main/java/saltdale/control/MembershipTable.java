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
 * The leases of the members, merged from what all control nodes hear. Each renewal has a higher count than the one
 * before, so the highest count is the newest renewal.
 */
final class MembershipTable {
    private static final class Lease {
        Member member;
        long count;
        long renewedAt;
        boolean unreported; // not yet reported to the other control nodes
    }

    /** The members at one point in time; equal digests mean equal members. */
    record View(Map<String, Member> byIncarnation, String digest, long edition) {}

    private static final int MAX_VIEWS = 64;

    private final long leaseNanos;
    private final Map<String, Lease> leases = new TreeMap<>(); // by incarnation
    /** The incarnations whose leases have ended, and since when. */
    private final Map<String, Long> ended = new LinkedHashMap<>();

    private final Map<String, View> views = new LinkedHashMap<>(); // recent views, by digest
    private View view = new View(Map.of(), "", 0);
    private SetDigest digest = SetDigest.EMPTY; // of the members of view
    private long edition;

    MembershipTable(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    /** A number that changes whenever the members change. */
    long edition() {
        return edition;
    }

    /** The current members. */
    Collection<Member> members() {
        return view().byIncarnation().values();
    }

    /** The current members; the same object until they change. */
    View view() {
        if (view.edition() != edition) {
            Map<String, Member> byIncarnation = new TreeMap<>();
            leases.forEach((incarnation, lease) -> byIncarnation.put(incarnation, lease.member));
            digest = digest.updated(view.byIncarnation(), byIncarnation);
            view = new View(byIncarnation, digest.text(), edition);
            views.put(view.digest(), view);
            if (views.size() > MAX_VIEWS) {
                views.remove(views.keySet().iterator().next());
            }
        }
        return view;
    }

    /** A recent view of the members by its digest; {@code null} if it is not known. */
    View recentView(String digest) {
        return view().digest().equals(digest) ? view : views.get(digest);
    }

    /** The member of this incarnation; {@code null} if its lease has ended or is not known. */
    Member member(String incarnation) {
        Lease lease = leases.get(incarnation);
        return lease == null ? null : lease.member;
    }

    /** Records a renewal, received from the member itself ({@code fromMember}) or from another control node. */
    void renew(Member member, long count, long now, boolean fromMember) {
        if (ended.containsKey(member.incarnation())) {
            return;
        }
        Lease lease = leases.get(member.incarnation());
        if (lease == null) {
            // Another incarnation of the same name has ended: a machine runs one at a time, and the later one is
            // the one that is first heard now.
            leases.values().removeIf(other -> other.member.name().equals(member.name()) && recordEnd(other, now));
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
            lease.renewedAt = now;
            lease.unreported |= fromMember;
        }
    }

    private boolean recordEnd(Lease lease, long now) {
        ended.put(lease.member.incarnation(), now);
        return true;
    }

    /** Ends the leases that were not renewed in time. */
    void expire(long now) {
        int sizeBefore = leases.size();
        leases.values().removeIf(lease -> now - lease.renewedAt > leaseNanos && recordEnd(lease, now));
        edition += sizeBefore == leases.size() ? 0 : 1;
        for (Iterator<Long> i = ended.values().iterator(); i.hasNext() && now - i.next() > 20 * leaseNanos; ) {
            i.remove();
        }
    }

    /** The incarnations whose leases ended recently, as far as this control node knows. */
    List<String> recentlyEnded(long now) {
        return ended.entrySet().stream()
                .filter(entry -> now - entry.getValue() < leaseNanos)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Ends the leases that have ended on another control node: otherwise the two nodes would compute different owners.
     */
    void markEnded(List<String> incarnations, long now) {
        for (String incarnation : incarnations) {
            if (ended.putIfAbsent(incarnation, now) == null && leases.remove(incarnation) != null) {
                edition++;
            }
        }
    }

    /** The renewals received from the members themselves since the last call. */
    List<Renewal> takeUnreportedRenewals() {
        List<Renewal> renewals = new ArrayList<>();
        for (Lease lease : leases.values()) {
            if (lease.unreported) {
                lease.unreported = false;
                renewals.add(new Renewal(lease.member, lease.count));
            }
        }
        return renewals;
    }

    /** Records renewals received from another control node. */
    void mergeRenewals(List<Renewal> renewals, long now) {
        renewals.forEach(renewal -> renew(renewal.member(), renewal.count(), now, false));
    }
}
