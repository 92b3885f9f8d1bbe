package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import saltdale.control.Counter;
import saltdale.control.Environment;
import saltdale.control.message.ContactMessage.ContactProbe;
import saltdale.control.message.ContactMessage.ContactReply;

/**
 * A proxy's search for a control node that serves it. A few control nodes are probed at a time, the most promising ones
 * first, and none is probed again before all others have been probed. The time until one is found is thereby bounded by
 * the number of known control nodes, independently of the random order. If a whole round gets no reply, another proxy
 * is asked for the hosts of control nodes.
 */
final class ControlNodeSearch {
    /** Two, so that the failure of one more node costs no time, while only few connections are opened. */
    private static final int PROBES_AT_ONCE = 2;

    private final Environment environment;
    private final ControlNodeDirectory directory;
    private final Supplier<List<String>> otherProxies;
    private final Set<String> probed = new HashSet<>(); // in this round
    private final Map<String, Boolean> replies =
            new LinkedHashMap<>(); // whether it serves, by host, in order of arrival
    private long lastNumber;
    private long firstNumber; // of this search
    private boolean active;
    private boolean repliedInRound = true;

    /** {@code otherProxies}: the hosts of other proxies, asked if no control node replies. */
    ControlNodeSearch(Environment environment, ControlNodeDirectory directory, Supplier<List<String>> otherProxies) {
        this.environment = environment;
        this.directory = directory;
        this.otherProxies = otherProxies;
    }

    boolean isActive() {
        return active;
    }

    /** Ends the search and discards its replies; the next probe starts a new search. */
    void stop() {
        active = false;
        probed.clear();
        replies.clear();
        repliedInRound = true;
        firstNumber = lastNumber + 1;
    }

    /** Probes the next few control nodes, except {@code excluded}, which is known not to serve (may be null). */
    void probeNext(String excluded) {
        active = true;
        List<String> candidates = unprobed(excluded);
        if (candidates.isEmpty()) {
            askOtherProxy();
            probed.clear();
            repliedInRound = false;
            candidates = unprobed(excluded);
        }
        for (String host : candidates.subList(0, Math.min(PROBES_AT_ONCE, candidates.size()))) {
            probed.add(host);
            probe(host);
        }
    }

    /** The control nodes not probed in this round: the current ones in random order, then the others. */
    private List<String> unprobed(String excluded) {
        List<String> current = new ArrayList<>(directory.current());
        Collections.shuffle(current, new Random(environment.random().nextLong()));
        List<String> all = new ArrayList<>(current);
        directory.all().stream().filter(host -> !current.contains(host)).forEach(all::add);
        all.removeIf(host -> host.equals(excluded) || probed.contains(host));
        return all;
    }

    private void askOtherProxy() {
        List<String> proxies = repliedInRound ? List.of() : otherProxies.get();
        if (!proxies.isEmpty()) {
            probe(proxies.get(environment.random().nextInt(proxies.size())));
        }
    }

    private void probe(String host) {
        environment.counters().increment(Counter.CONTACT_PROBES);
        environment.send(host, new ContactProbe(++lastNumber));
    }

    /** Discards the reply of a control node that has been selected. */
    void selected(String host) {
        replies.remove(host);
    }

    /** Handles a reply; replies to probes of an earlier search are out of date and do not count. */
    void handleReply(String from, ContactReply reply) {
        directory.addHints(reply.controlHosts());
        if (active && reply.number() >= firstNumber && directory.all().contains(from)) {
            repliedInRound = true;
            replies.put(from, reply.serves());
        }
    }

    /** The first control node that replied that it serves; null if none did. */
    String serving() {
        return firstReply(true);
    }

    /** The first control node that replied that it cannot serve now; null if none did. */
    String notServing() {
        return firstReply(false);
    }

    private String firstReply(boolean serves) {
        for (Map.Entry<String, Boolean> reply : replies.entrySet()) {
            if (reply.getValue() == serves) {
                return reply.getKey();
            }
        }
        return null;
    }
}
