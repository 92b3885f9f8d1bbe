package saltdale.proxy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltdale.control.Member;
import saltdale.control.MembershipTable;
import saltdale.control.message.SessionMessage.MembersChange;

/** The members as control nodes have told them; it stays as it is when the session changes. */
final class MembersReplica {
    private final Map<String, Member> byLife = new TreeMap<>();
    private String digest = "";

    /** Empty where what we have is no base for changes. */
    String digest() {
        return digest;
    }

    List<Member> all() {
        return List.copyOf(byLife.values());
    }

    /** Whether what comes out has the digest told; else all members must be told anew. */
    boolean change(MembersChange news) {
        if (news.whole()) {
            byLife.clear();
        }
        news.changed().forEach(member -> byLife.put(member.life(), member));
        news.gone().forEach(byLife::remove);
        boolean agrees = MembershipTable.digest(byLife.values()).equals(news.digest());
        digest = agrees ? news.digest() : "";
        return agrees;
    }
}
