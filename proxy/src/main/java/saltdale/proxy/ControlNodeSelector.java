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
 * Selects the control node that a proxy uses. While the current one is silent, others are probed in advance
 * ({@link ControlNodeSearch}), so that the proxy can switch as soon as it has to. It switches at once if the current
 * one has lost its quorum, announces that it leaves, or does not reply on a new connection after the old one was lost.
 */
final class ControlNodeSelector {
    private final Environment environment;
    private final long heartbeatNanos;
    private final ControlNodeDirectory directory;
    private final ControlNodeSearch search;
    private final Consumer<String> onSelected;
    private String host; // null before the first one is found
    private boolean withoutQuorum; // according to its last message
    private boolean leaving; // it is about to exit
    private boolean disconnected; // the connection to it was lost, and it has not replied since
    private long disconnectedAt;
    private long servedAt; // when it last served us, or was selected
    private long repliedAt; // when it last replied, with or without a quorum
    private long tickedAt;

    /**
     * {@code otherProxies}: the hosts of other proxies, as far as they are known; {@code onSelected} gets the host of
     * each control node that is selected.
     */
    ControlNodeSelector(
            Environment environment,
            ProxySettings settings,
            Supplier<List<String>> otherProxies,
            Consumer<String> onSelected) {
        this.environment = environment;
        heartbeatNanos = settings.heartbeatNanos();
        directory = new ControlNodeDirectory(settings.seeds());
        search = new ControlNodeSearch(environment, directory, otherProxies);
        this.onSelected = onSelected;
    }

    /** The host of the selected control node; null before the first one is found. */
    String host() {
        return host;
    }

    /** Replaces the seed control nodes after the settings were reloaded. */
    void updateSeeds(List<String> hosts) {
        directory.updateSeeds(hosts);
    }

    /** Time between two ticks. */
    long tickNanos() {
        return heartbeatNanos / 8;
    }

    /** Silence after which other control nodes are probed: longer than a renewal and its reply take. */
    private long probeOthersAfterNanos() {
        return heartbeatNanos * 5 / 12;
    }

    /** Silence after which another control node is selected. */
    private long switchAfterNanos() {
        return heartbeatNanos * 2 / 3;
    }

    /** Searches for another control node or switches to it, if that is due; called periodically. */
    void tick() {
        long now = environment.now();
        checkNotOverdue(now);
        if (mustSwitch(now) || now - servedAt > probeOthersAfterNanos()) {
            search.probeNext(host);
        } else if (search.isActive()) {
            search.stop();
        }
        switchIfDue();
    }

    /**
     * Checks that the proxy does not stay with a silent control node although another one serves. After a pause of this
     * process the check is skipped: messages that arrived meanwhile have not been handled yet.
     */
    private void checkNotOverdue(long now) {
        boolean wasPaused = now - tickedAt > 2 * tickNanos();
        boolean overdue = host != null && now - servedAt > switchAfterNanos() + 2 * tickNanos();
        tickedAt = now;
        environment.check(
                Invariant.SERVING_NODE_TAKEN,
                wasPaused || !overdue || search.serving() == null,
                () -> search.serving() + " serves, " + host + " is silent");
    }

    /** Whether the current control node, if any, must be replaced by any other that serves. */
    private boolean mustSwitch(long now) {
        return host == null
                || withoutQuorum
                || leaving
                || disconnected && now - disconnectedAt >= tickNanos()
                || now - servedAt > switchAfterNanos();
    }

    /** Selects a control node that serves; if none does, replaces a silent one by one that at least replies. */
    private void switchIfDue() {
        long now = environment.now();
        if (!mustSwitch(now)) {
            return;
        }
        String next = search.serving();
        if (next != null) {
            search.stop();
        } else if (host == null || now - repliedAt > switchAfterNanos()) {
            next = search.notServing();
        }
        if (next != null) {
            select(next);
        }
    }

    private void select(String next) {
        environment.log("selects control node " + next + ", previous: " + host + ", reason: " + reason() + ", known: "
                + directory.all());
        environment.counters().increment(Counter.CONTROL_NODE_CHANGES);
        host = next;
        search.selected(next);
        withoutQuorum = false;
        leaving = false;
        disconnected = false;
        repliedAt = environment.now();
        onSelected.accept(next);
    }

    private String reason() {
        if (host == null) {
            return "start";
        } else if (leaving) {
            return "it is leaving";
        } else if (withoutQuorum) {
            return "it has no quorum";
        }
        return "silent for " + (environment.now() - servedAt) / 1_000_000 + " ms";
    }

    // Observations of the selected control node.

    /** It serves this proxy: it sent requested data, or a session has just been started with it. */
    void served() {
        servedAt = environment.now();
    }

    /** It granted the lease with a quorum, and named all voting control nodes. */
    void repliedWithQuorum(List<String> controlHosts) {
        replied();
        withoutQuorum = false;
        served();
        directory.updateCurrent(controlHosts);
    }

    /** It replied without a quorum; its list of control nodes may be out of date. */
    void repliedWithoutQuorum(List<String> controlHosts) {
        replied();
        directory.addHints(controlHosts);
        quorumLost();
    }

    private void replied() {
        repliedAt = environment.now();
        disconnected = false;
    }

    /** It has lost its quorum: others may have newer versions. */
    void quorumLost() {
        withoutQuorum = true;
        search.probeNext(host);
        switchIfDue();
    }

    /** It is about to exit as planned. */
    void controlNodeLeaves() {
        leaving = true;
        search.probeNext(host);
        switchIfDue();
    }

    /**
     * The connection to it was lost; that is how a killed process is detected. Returns false if the loss was known
     * already.
     */
    boolean connectionLost() {
        if (disconnected) {
            return false;
        }
        environment.counters().increment(Counter.CONTROL_CONNECTIONS_LOST);
        disconnected = true;
        disconnectedAt = environment.now();
        leaving = false; // the process that announced it has exited; another one may start at its address
        search.probeNext(host);
        return true;
    }

    /** Handles a probe of a proxy that searches for a control node, or a reply to a probe of our own. */
    void handleMessage(String from, ContactMessage message) {
        if (message instanceof ContactProbe probe) {
            environment.send(from, new ContactReply(probe.number(), false, directory.current()));
        } else if (message instanceof ContactReply reply) {
            search.handleReply(from, reply);
            switchIfDue();
        }
    }
}
