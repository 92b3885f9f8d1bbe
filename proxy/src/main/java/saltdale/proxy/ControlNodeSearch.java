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
 * The search of a proxy for a control node that serves it: a few are asked at a time, the most promising first, and
 * nobody is asked again before all others were asked once. So the time until one is found is bounded by the number of
 * those known, whatever the draws. Where a whole round is silent, a fellow proxy is asked where control nodes are.
 */
final class ControlNodeSearch {
    /** Asked at once: two, so that the loss of one more node costs no time, and few connections are opened. */
    private static final int AT_ONCE = 2;

    private final Environment environment;
    private final ControlNodeDirectory directory;
    private final Supplier<List<String>> fellowProxies;
    private final Set<String> asked = new HashSet<>(); // in this round
    private final Map<String, Boolean> answers =
            new LinkedHashMap<>(); // whether it serves, by host, in order of arrival
    private long number;
    private long firstNumber; // of this search
    private boolean on;
    private boolean answeredInRound = true;

    /** {@code fellowProxies}: hosts of other proxies, asked where no control node answers. */
    ControlNodeSearch(Environment environment, ControlNodeDirectory directory, Supplier<List<String>> fellowProxies) {
        this.environment = environment;
        this.directory = directory;
        this.fellowProxies = fellowProxies;
    }

    boolean isOn() {
        return on;
    }

    /** What was answered counts no longer; a new search begins with the next question. */
    void end() {
        on = false;
        asked.clear();
        answers.clear();
        answeredInRound = true;
        firstNumber = number + 1;
    }

    /** Asks the next few, never {@code except}, who is known not to serve (null for nobody). */
    void ask(String except) {
        on = true;
        List<String> left = unasked(except);
        if (left.isEmpty()) {
            askFellow();
            asked.clear();
            answeredInRound = false;
            left = unasked(except);
        }
        for (String host : left.subList(0, Math.min(AT_ONCE, left.size()))) {
            asked.add(host);
            probe(host);
        }
    }

    /** Those not asked in this round: the current ones in any order, then the others. */
    private List<String> unasked(String except) {
        List<String> current = new ArrayList<>(directory.known());
        Collections.shuffle(current, new Random(environment.random().nextLong()));
        List<String> all = new ArrayList<>(current);
        directory.all().stream().filter(host -> !current.contains(host)).forEach(all::add);
        all.removeIf(host -> host.equals(except) || asked.contains(host));
        return all;
    }

    private void askFellow() {
        List<String> fellows = answeredInRound ? List.of() : fellowProxies.get();
        if (!fellows.isEmpty()) {
            probe(fellows.get(environment.random().nextInt(fellows.size())));
        }
    }

    private void probe(String host) {
        environment.counters().increment(Counter.CONTACT_PROBES);
        environment.send(host, new ContactProbe(++number));
    }

    /** The proxy has gone there: what it answered before counts no longer. */
    void taken(String host) {
        answers.remove(host);
    }

    /** Takes an answer; those to questions of an earlier search say nothing of now. */
    void answered(String from, ContactReply reply) {
        directory.hinted(reply.controlHosts());
        if (on && reply.number() >= firstNumber && directory.all().contains(from)) {
            answeredInRound = true;
            answers.put(from, reply.serves());
        }
    }

    /** One that serves, the first that said so; null where none did. */
    String serving() {
        return answering(true);
    }

    /** One that answers but cannot serve now; null where there is none. */
    String notServing() {
        return answering(false);
    }

    private String answering(boolean serves) {
        for (Map.Entry<String, Boolean> answer : answers.entrySet()) {
            if (answer.getValue() == serves) {
                return answer.getKey();
            }
        }
        return null;
    }
}
