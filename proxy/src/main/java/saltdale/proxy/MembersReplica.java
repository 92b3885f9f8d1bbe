package saltdale.proxy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltdale.control.Member;
import saltdale.control.SetDigest;
import saltdale.control.message.SessionMessage.MembersChange;

/** The members as control nodes have told them; it stays as it is when the session changes. */
final class MembersReplica {
    private Map<String, Member> byLife = Map.of();
    private SetDigest digest = SetDigest.EMPTY; // of these
    private boolean trusted; // else it is no base for changes

    /** Empty where what we have is no base for changes. */
    String digest() {
        return trusted ? digest.text() : "";
    }

    List<Member> all() {
        return List.copyOf(byLife.values());
    }

    /** Whether what comes out has the digest told; else all members must be told anew. */
    boolean change(MembersChange news) {
        Map<String, Member> next = new TreeMap<>(news.complete() ? Map.of() : byLife);
        news.changed().forEach(member -> next.put(member.life(), member));
        news.removed().forEach(next::remove);
        digest = digest.changed(byLife, next);
        byLife = next;
        trusted = digest.text().equals(news.digest());
        return trusted;
    }
}
