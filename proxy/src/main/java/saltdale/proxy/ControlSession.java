package saltdale.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.control.Environment;
import saltdale.control.Member;
import saltdale.control.message.SessionMessage;
import saltdale.control.message.SessionMessage.LeaseGrant;
import saltdale.control.message.SessionMessage.LeaseOver;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.News;
import saltdale.control.message.SessionMessage.QuorumLost;

/**
 * A proxy's tie to the core: it renews its lease at one control node and takes its news there, and goes on to
 * another when
 * that one is silent or has lost the majority.
 */
final class ControlSession {
    /** News, in the order in which the control node sent it. */
    interface Reader {
        void news(News news);

        /** A session begins: what was told before about runners is told again. */
        void begins();

        /** Our lease is over: we are another member now. */
        void over();

        long revision();
    }

    private final Environment environment;
    private final ProxySettings proxySettings;
    private final Reader reader;
    private final Set<String> controlNodes = new LinkedHashSet<>();
    private final Map<Long, Long> sentAt = new LinkedHashMap<>();
    private String life;
    private String controlNode;
    private String session = "";
    private long count;
    private long news; // of this session, so many came
    private long heardAt;
    private long renewedAt;
    private long leaseUntil = Long.MIN_VALUE / 2; // counted from when that was sent which a control node answered
    private int alone; // so often in a row it had no majority
    private boolean leaving;

    ControlSession(Environment environment, ProxySettings proxySettings, Reader reader) {
        this.environment = environment;
        this.proxySettings = proxySettings;
        this.reader = reader;
        controlNodes.addAll(proxySettings.seeds());
        life = fresh();
    }

    private String fresh() {
        return Long.toString(environment.chance().nextLong() >>> 1, 36);
    }

    String life() {
        return life;
    }

    String controlNode() {
        return controlNode;
    }

    boolean hasLease() {
        return environment.now() < leaseUntil;
    }

    void begin() {
        move();
        turn();
    }

    private void turn() {
        long now = environment.now();
        if (now - heardAt > proxySettings.beat() * 2 / 3) {
            move();
        }
        // Until the first word has come it asks more often: a control node may start later than we do.
        if (news == 0 || now - renewedAt >= proxySettings.beat() / 4) {
            renew();
        }
        environment.after(proxySettings.beat() / 8, this::turn);
    }

    /** Another control node, another session. */
    private void move() {
        List<String> all = new ArrayList<>(controlNodes);
        all.remove(controlNode);
        if (!all.isEmpty()) {
            controlNode = all.get(environment.chance().nextInt(all.size()));
            environment.note("goes to control node " + controlNode);
        }
        alone = 0;
        resume();
    }

    /** A new session: all news that matters is told anew. */
    private void resume() {
        session = fresh();
        news = 0;
        heardAt = environment.now();
        sentAt.clear();
        reader.begins();
    }

    private void renew() {
        if (controlNode == null) {
            return;
        }
        long now = environment.now();
        renewedAt = now;
        sentAt.put(++count, now);
        sentAt.values().removeIf(at -> now - at > 4 * proxySettings.beat());
        environment.send(
                controlNode,
                new LeaseRenewal(
                        new Member(life, proxySettings.name(), proxySettings.zone(), proxySettings.host(), leaving),
                        count,
                        session,
                        reader.revision()));
    }

    /** Tells at once that nothing new is to come here. */
    void leave() {
        leaving = true;
        renew();
    }

    /** Takes a message of a control node. */
    void message(String from, SessionMessage message) {
        if (message instanceof QuorumLost) {
            // The control node has just lost its majority: another may know of newer versions.
            if (from.equals(controlNode)) {
                move();
                renew();
            }
        } else if (message instanceof LeaseGrant grant) {
            granted(from, grant);
        } else if (message instanceof LeaseOver over) {
            if (sentAt.remove(over.count()) != null && from.equals(controlNode)) {
                over();
            }
        } else if (message instanceof News news && news.session().equals(session) && from.equals(controlNode)) {
            told(news);
        }
    }

    private void told(News message) {
        if (message.number() != news + 1) {
            environment.note("news " + message.number() + " came after " + news);
            resume(); // something was lost on the way
            renew();
            return;
        }
        news++;
        reader.news(message);
    }

    private void over() {
        life = fresh();
        leaseUntil = Long.MIN_VALUE / 2;
        environment.note("the lease is over; a new life: " + life);
        reader.over();
        resume();
        renew();
    }

    private void granted(String from, LeaseGrant grant) {
        Long sent = sentAt.remove(grant.count());
        if (!from.equals(controlNode) || sent == null) {
            return;
        }
        if (!grant.hasQuorum()) {
            alone++;
            if (alone > 1) { // it may not know what is in force
                move();
                renew();
            }
            return;
        }
        alone = 0;
        heardAt = environment.now();
        leaseUntil = Math.max(leaseUntil, sent + grant.validMillis() * 1_000_000);
        controlNodes.addAll(grant.controlHosts());
        if (grant.session().equals(session) && grant.newsSent() != news) {
            resume();
            renew();
        }
    }
}
