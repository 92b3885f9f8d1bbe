package saltdale.proxy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltdale.control.Member;
import saltdale.control.SetDigest;
import saltdale.control.message.SessionMessage.MembersChange;

/** The members as received from control nodes; kept when another session starts. */
final class MembersReplica {
    private Map<String, Member> byIncarnation = Map.of();
    private SetDigest digest = SetDigest.EMPTY; // of these members
    private boolean trusted; // otherwise they cannot serve as the base of changes

    /** The digest of the members; empty if they cannot serve as the base of changes. */
    String digest() {
        return trusted ? digest.text() : "";
    }

    List<Member> all() {
        return List.copyOf(byIncarnation.values());
    }

    /** Returns whether the result has the expected digest; if not, all members must be sent again. */
    boolean apply(MembersChange change) {
        Map<String, Member> next = new TreeMap<>(change.complete() ? Map.of() : byIncarnation);
        change.changed().forEach(member -> next.put(member.incarnation(), member));
        change.removed().forEach(next::remove);
        digest = digest.updated(byIncarnation, next);
        byIncarnation = next;
        trusted = digest.text().equals(change.digest());
        return trusted;
    }
}
