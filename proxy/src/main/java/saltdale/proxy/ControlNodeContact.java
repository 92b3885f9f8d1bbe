package saltdale.proxy;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import saltdale.control.Counter;
import saltdale.control.Environment;
import saltdale.control.Invariant;
import saltdale.control.message.ContactMessage;
import saltdale.control.message.ContactMessage.ContactProbe;
import saltdale.control.message.ContactMessage.ContactReply;

/**
 * Which control node a proxy is with. While that one is silent others are asked already ({@link ControlNodeSearch}), so
 * that the proxy goes to one that serves as soon as it has to; at once where its own has lost the quorum, says that it
 * leaves, or ends its connection and does not answer on a new one.
 */
final class ControlNodeContact {
    private final Environment environment;
    private final long heartbeat;
    private final ControlNodeDirectory directory;
    private final ControlNodeSearch search;
    private final Consumer<String> attached;
    private String host; // null before the first one is found
    private boolean withoutQuorum; // by its last word
    private boolean leaves; // it is about to end
    private boolean disconnected; // the connection to it has ended, and it was not heard since
    private long disconnectedAt;
    private long servedAt; // when it last served us, or we came to it
    private long answeredAt; // when it last answered, with or without a quorum
    private long turnedAt;

    /**
     * {@code fellowProxies}: hosts of other proxies, as far as they are known; {@code attached}: told the control node
     * that the proxy has gone to.
     */
    ControlNodeContact(
            Environment environment,
            ProxySettings settings,
            Supplier<List<String>> fellowProxies,
            Consumer<String> attached) {
        this.environment = environment;
        heartbeat = settings.heartbeat();
        directory = new ControlNodeDirectory(settings.seeds());
        search = new ControlNodeSearch(environment, directory, fellowProxies);
        this.attached = attached;
    }

    /** The control node that the proxy is with; null before the first one is found. */
    String host() {
        return host;
    }

    /** The settings name these control nodes now. */
    void seeds(List<String> hosts) {
        directory.seeds(hosts);
    }

    /** Time between two turns, in nanoseconds. */
    long turnEvery() {
        return heartbeat / 8;
    }

    /** The silence after which others are asked: longer than renewals and their answers take. */
    private long askOthersAfter() {
        return heartbeat * 5 / 12;
    }

    /** The silence after which a control node is left for another one. */
    private long leaveAfter() {
        return heartbeat * 2 / 3;
    }

    /** Looks for another control node where that is due. */
    void turn() {
        long now = environment.now();
        checkStay(now);
        if (mustLeave(now) || now - servedAt > askOthersAfter()) {
            search.ask(host);
        } else if (search.isOn()) {
            search.end();
        }
        leaveIfDue();
    }

    /** After a standstill of our own, what has come meanwhile has not been looked at yet. */
    private void checkStay(long now) {
        boolean stoodStill = now - turnedAt > 2 * turnEvery();
        boolean overdue = host != null && now - servedAt > leaveAfter() + 2 * turnEvery();
        turnedAt = now;
        environment.check(
                Invariant.SERVING_NODE_TAKEN,
                stoodStill || !overdue || search.serving() == null,
                () -> search.serving() + " serves, " + host + " is silent");
    }

    /** Whether the control node, if there is one, is to be left for any that serves. */
    private boolean mustLeave(long now) {
        return host == null
                || withoutQuorum
                || leaves
                || disconnected && now - disconnectedAt >= turnEvery()
                || now - servedAt > leaveAfter();
    }

    /** Goes to a control node that serves; where none does, from one that is silent to one that answers. */
    private void leaveIfDue() {
        long now = environment.now();
        if (!mustLeave(now)) {
            return;
        }
        String next = search.serving();
        if (next != null) {
            search.end();
        } else if (host == null || now - answeredAt > leaveAfter()) {
            next = search.notServing();
        }
        if (next != null) {
            attach(next);
        }
    }

    private void attach(String next) {
        environment.log(
                "goes to control node " + next + ", left " + host + ": " + cause() + "; knows " + directory.all());
        environment.counters().increment(Counter.CONTROL_NODE_CHANGES);
        host = next;
        search.taken(next);
        withoutQuorum = false;
        leaves = false;
        disconnected = false;
        answeredAt = environment.now();
        attached.accept(next);
    }

    private String cause() {
        if (host == null) {
            return "it begins";
        } else if (leaves) {
            return "it leaves";
        } else if (withoutQuorum) {
            return "it has no quorum";
        }
        return "silent for " + (environment.now() - servedAt) / 1_000_000 + " ms";
    }

    // What is heard of it.

    /** It serves us: it sends what was asked for, or a session has just begun there. */
    void serves() {
        servedAt = environment.now();
    }

    /** It has granted the lease, with a quorum, and says that these are all control nodes that vote. */
    void granted(List<String> controlHosts) {
        answered();
        withoutQuorum = false;
        serves();
        directory.told(controlHosts);
    }

    /** It has answered without a quorum; what it says of other control nodes may be old. */
    void refused(List<String> controlHosts) {
        answered();
        directory.hinted(controlHosts);
        lostQuorum();
    }

    private void answered() {
        answeredAt = environment.now();
        disconnected = false;
    }

    /** It has lost its quorum: another may know of newer versions. */
    void lostQuorum() {
        withoutQuorum = true;
        search.ask(host);
        leaveIfDue();
    }

    /** It is about to end, as planned. */
    void leaves() {
        leaves = true;
        search.ask(host);
        leaveIfDue();
    }

    /** The connection to it has ended; whether that is news. A process that was killed is found out by that. */
    boolean disconnected() {
        if (disconnected) {
            return false;
        }
        environment.counters().increment(Counter.CONTROL_CONNECTIONS_LOST);
        disconnected = true;
        disconnectedAt = environment.now();
        leaves = false; // the process that said so has ended; another may begin at its address
        search.ask(host);
        return true;
    }

    /** Takes a question of a proxy that looks for a control node, or an answer to our own. */
    void message(String from, ContactMessage message) {
        if (message instanceof ContactProbe probe) {
            environment.send(from, new ContactReply(probe.number(), false, directory.known()));
        } else if (message instanceof ContactReply reply) {
            search.answered(from, reply);
            leaveIfDue();
        }
    }
}
