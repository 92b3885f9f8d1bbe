package saltdale.rig.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Judges by what clients, runners and the operator saw. It is told in the order of time. Less than the pages have:
 * no DRAIN, LOST, BUDGET nor RECOVER.
 */
public final class Judge {
    /** The rules that are judged. */
    public enum Rule {
        TWICE,
        MIXED,
        ROUTE,
        LIMIT,
        REFUSED,
        CONFIG,
        UNASKED,
        DENIED
    }

    private static final Duration LIMIT_WINDOW = Duration.ofSeconds(5);
    private static final int KEPT = 20; // breaches told one by one; beyond that they are counted

    /** A try of a client. */
    private static final class Try {
        final Duration sentAt;
        final Route route;
        final String request;
        final String machine;
        int runs;
        boolean refused;
        boolean spoilt; // a runner broke its answer off

        Try(Duration sentAt, Route route, String request, String machine) {
            this.sentAt = sentAt;
            this.route = route;
            this.request = request;
            this.machine = machine;
        }
    }

    private record Run(String attemptId, boolean succeeds) {}

    /** A configuration that was sent; in force for certain some time after its acknowledgement. */
    private static final class Version {
        final Map<String, String> services = new HashMap<>();
        Duration ackedAt;
    }

    private final Bounds bounds;
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final List<Version> versions = new ArrayList<>();
    private final Map<String, Deque<Duration>> turnedAway = new HashMap<>();
    private final Map<String, Duration> outOfTouch = new HashMap<>();
    private final Map<Rule, Integer> broken = new EnumMap<>(Rule.class);
    private final Map<String, Map<String, Integer>> unserved = new TreeMap<>();
    private final List<String> told = new ArrayList<>();
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private Duration troubledUntil = Duration.ofNanos(Long.MIN_VALUE);
    private long asked;
    private long served;
    private long inTime;
    private long requests;
    private long denied;
    private long full;

    public Judge(Bounds bounds) {
        this.bounds = bounds;
        for (Rule rule : Rule.values()) {
            broken.put(rule, 0);
        }
    }

    // The operator.

    /** Sends a configuration; returns its number here. */
    public int offered(List<Route> routes) {
        Version version = new Version();
        routes.forEach(route -> version.services.put(key(route), route.service()));
        versions.add(version);
        return versions.size() - 1;
    }

    public void acknowledged(Duration now, int version) {
        versions.get(version).ackedAt = now;
    }

    /** The configuration that was read back is not the one that was acknowledged. */
    public void readBackWrong(Duration now, String what) {
        breach(now, Rule.CONFIG, what);
    }

    private static String key(Route route) {
        return route.hostname() + route.pathPrefix();
    }

    // Trouble.

    /** A machine was killed, or runners were harmed: until then, and for {@code contact_ms} more. */
    public void troubled(String machine, Duration until) {
        Duration end = until.plus(bounds.contact());
        troubledUntil = troubledUntil.compareTo(end) > 0 ? troubledUntil : end;
        if (machine != null) {
            outOfTouch.put(machine, end);
        }
    }

    /** It is back already: only {@code contact_ms} more. */
    public void outOfTrouble(String machine, Duration now) {
        troubledUntil = now.plus(bounds.contact());
        outOfTouch.put(machine, troubledUntil);
    }

    private boolean inTouch(Duration now, String machine) {
        return outOfTouch.getOrDefault(machine, Duration.ZERO).compareTo(now) <= 0;
    }

    // Clients.

    /** {@code request}: method, path and body, as a runner is to see them. */
    public void sent(Duration now, String attemptId, Route route, String request, String machine) {
        requests++;
        tries.put(attemptId, new Try(now, route, request, machine));
    }

    /**
     * A whole answer has come.
     *
     * @param seal null where there is none
     * @param answeredId what the answer names as the attempt; null where it names none
     */
    public void answered(Duration now, String attemptId, int status, String seal, String answeredId, byte[] body) {
        Try was = tries.get(attemptId);
        if (answeredId != null && !answeredId.equals(attemptId)) {
            breach(now, Rule.MIXED, attemptId + " was answered with what belongs to " + answeredId);
        }
        if (status / 100 == 2) {
            Run run = seal == null ? null : runs.get(seal);
            if (run == null) {
                breach(now, Rule.MIXED, attemptId + ": a success without a runner's seal");
            } else if (!run.attemptId.equals(attemptId)) {
                breach(now, Rule.MIXED, attemptId + ": a success with the seal of " + run.attemptId);
            } else if (!run.succeeds) {
                breach(now, Rule.MIXED, attemptId + ": a success where the runner had failed");
            } else if (!Arrays.equals(body, body(seal))) {
                breach(now, Rule.MIXED, attemptId + ": a success with another body than the runner's");
            }
        } else if (Retrying.isPromise(status)) {
            was.refused = true;
            refusal(now, attemptId, was);
        } else if (status / 100 == 3 || status / 100 == 4) {
            denied(now, attemptId, was, status);
        }
    }

    private void denied(Duration now, String attemptId, Try was, int status) {
        boolean allowed = allowed(was).stream().allMatch(version -> version.services.containsKey(key(was.route)));
        if (!allowed || !inTouch(now, was.machine)) {
            return;
        }
        denied++;
        if (status == 404 && versions.stream().anyMatch(version -> !version.services.containsKey(key(was.route)))) {
            breach(now, Rule.CONFIG, attemptId + ": 404 on " + was.route.name() + ", which is there");
        }
    }

    /** What came was no answer, or came where no request was waiting; {@code attemptId} null for the latter. */
    public void garbage(Duration now, String attemptId) {
        if (attemptId == null || !tries.get(attemptId).spoilt) {
            breach(
                    now,
                    Rule.MIXED,
                    attemptId == null
                            ? "an answer where no request was waiting"
                            : attemptId + ": bytes that are no answer");
        }
    }

    /** All is over with what a client wanted; {@code status} of its last try, 0 where no answer came. */
    public void over(Route route, Duration took, int status) {
        asked++;
        if (status / 100 == 2) {
            served++;
            inTime += took.compareTo(route.aim()) <= 0 ? 1 : 0;
            latency.recordValue(took.toNanos() / 1000);
        } else {
            String how = took.compareTo(route.deadline()) >= 0 ? "deadline" : status == 0 ? "cut" : "" + status;
            unserved.computeIfAbsent(route.service(), k -> new TreeMap<>()).merge(how, 1, Integer::sum);
        }
    }

    /** What became of those that were not served: how often the last try ended how, by service. */
    public Map<String, Map<String, Integer>> unserved() {
        return unserved;
    }

    // Runners.

    /** A runner begins to work on a request. */
    public void ran(Duration now, String attemptId, String service, String seal, String request, boolean succeeds) {
        runs.put(seal, new Run(attemptId, succeeds));
        Try was = tries.get(attemptId);
        if (was == null || !was.request.equals(request)) {
            breach(
                    now,
                    Rule.UNASKED,
                    attemptId
                            + (was == null
                                    ? ": run, and sent by no client"
                                    : ": run as " + request + ", sent as " + was.request));
            return;
        }
        was.runs++;
        if (!was.route.idempotent() && was.runs > 1) {
            breach(now, Rule.TWICE, attemptId + " was run " + was.runs + " times");
        }
        refusal(now, attemptId, was);
        String key = key(was.route);
        if (versions.stream().noneMatch(version -> service.equals(version.services.get(key)))) {
            breach(now, Rule.ROUTE, attemptId + " of " + was.route.name() + " was run by " + service);
        } else if (inTouch(now, was.machine)
                && allowed(was).stream().noneMatch(version -> service.equals(version.services.get(key)))) {
            breach(now, Rule.CONFIG, attemptId + " of " + was.route.name() + " was run by the old " + service);
        }
    }

    /** The runner will break its answer off, or send what is none. */
    public void spoils(String attemptId) {
        Try was = tries.get(attemptId);
        if (was != null) {
            was.spoilt = true;
        }
    }

    /** A runner turns a request away as {@code max_concurrency} are at work. */
    public void turnedAway(Duration now, String service) {
        full++;
        if (now.compareTo(troubledUntil) < 0) {
            return;
        }
        Deque<Duration> times = turnedAway.computeIfAbsent(service, k -> new ArrayDeque<>());
        while (!times.isEmpty() && now.minus(times.peek()).compareTo(LIMIT_WINDOW) > 0) {
            times.poll();
        }
        times.add(now);
        if (times.size() > bounds.limitSlack()) {
            breach(
                    now,
                    Rule.LIMIT,
                    service + " turned away " + times.size() + " within " + LIMIT_WINDOW.toSeconds() + " s");
            times.clear();
        }
    }

    /** The body of the run with this seal: no other run has the same. */
    public static byte[] body(String seal) {
        byte[] body = new byte[2400];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) seal.charAt(i % seal.length());
        }
        return body;
    }

    private void refusal(Duration now, String attemptId, Try was) {
        if (was.refused && was.runs > 0 && !was.route.idempotent()) {
            breach(now, Rule.REFUSED, attemptId + " was run and refused");
        }
    }

    /** The versions that may be in force for a request, by when it was sent. */
    private List<Version> allowed(Try was) {
        int from = 0;
        for (int i = 0; i < versions.size(); i++) {
            Duration acked = versions.get(i).ackedAt;
            from = acked != null && acked.plus(bounds.configApply()).compareTo(was.sentAt) < 0 ? i : from;
        }
        return versions.subList(from, versions.size());
    }

    private void breach(Duration now, Rule rule, String what) {
        broken.merge(rule, 1, Integer::sum);
        if (told.size() < KEPT) {
            told.add(String.format(Locale.ROOT, "%s at %.3f s: %s", rule, now.toMillis() / 1e3, what));
        }
    }

    // The verdict.

    public int broken(Rule rule) {
        return rule == Rule.DENIED ? (denied > 5 + requests / 500 ? 1 : 0) : broken.get(rule);
    }

    public int broken() {
        int all = 0;
        for (Rule rule : Rule.values()) {
            all += broken(rule);
        }
        return all;
    }

    /** The first breaches, one a line. */
    public List<String> told() {
        return told;
    }

    public long asked() {
        return asked;
    }

    public long served() {
        return served;
    }

    public String verdict() {
        List<String> rules = new ArrayList<>();
        for (Rule rule : Rule.values()) {
            rules.add(rule + " " + broken(rule));
        }
        return String.format(
                Locale.ROOT,
                "rules broken: %d (%s); served %d of %d (%.3f), in aim %.3f, p50 %.0f ms, "
                        + "p99 %.0f ms; turned away as full %d",
                broken(),
                String.join(", ", rules),
                served,
                asked,
                served / (double) Math.max(1, asked),
                inTime / (double) Math.max(1, asked),
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                full);
    }
}
