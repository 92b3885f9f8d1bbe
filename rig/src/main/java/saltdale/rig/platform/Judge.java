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
 * Judges by what clients, runners and the operator saw. It is breachMessages in the order of time. Less than the pages have:
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
    private static final int MAX_LISTED_BREACHES =
            20; // breaches breachMessages one by one; beyond that they are counted

    /** A try of a client. */
    private static final class Try {
        final Duration sentAt;
        final Route route;
        final String request;
        final String machine;
        int runs;
        boolean refused;
        boolean brokenByRunner; // a runner broke its answer off

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
        final Map<String, String> serviceByRoute = new HashMap<>();
        Duration acknowledgedAt;
    }

    private final Bounds bounds;
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final List<Version> versions = new ArrayList<>();
    private final Map<String, Deque<Duration>> fullRejections = new HashMap<>();
    private final Map<String, Duration> outOfContactUntil = new HashMap<>();
    private final Map<Rule, Integer> breachCounts = new EnumMap<>(Rule.class);
    private final Map<String, Map<String, Integer>> unservedByOutcome = new TreeMap<>();
    private final List<String> breachMessages = new ArrayList<>();
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private Duration disturbedUntil = Duration.ofNanos(Long.MIN_VALUE);
    private long requestCount;
    private long servedCount;
    private long servedInAim;
    private long triesSent;
    private long deniedTries;
    private long rejectedAsFull;

    public Judge(Bounds bounds) {
        this.bounds = bounds;
        for (Rule rule : Rule.values()) {
            breachCounts.put(rule, 0);
        }
    }

    // The operator.

    /** Sends a configuration; returns its number here. */
    public int recordChangeSent(List<Route> routes) {
        Version version = new Version();
        routes.forEach(route -> version.serviceByRoute.put(routeKey(route), route.service()));
        versions.add(version);
        return versions.size() - 1;
    }

    public void recordChangeAcknowledged(Duration now, int version) {
        versions.get(version).acknowledgedAt = now;
    }

    /** The configuration that was read back is not the one that was acknowledged. */
    public void recordReadBackMismatch(Duration now, String message) {
        breach(now, Rule.CONFIG, message);
    }

    private static String routeKey(Route route) {
        return route.hostname() + route.pathPrefix();
    }

    // Trouble.

    /** A machine was killed, or runners were harmed: until then, and for {@code contact_ms} more. */
    public void beginDisturbance(String machine, Duration until) {
        Duration end = until.plus(bounds.contact());
        disturbedUntil = disturbedUntil.compareTo(end) > 0 ? disturbedUntil : end;
        if (machine != null) {
            outOfContactUntil.put(machine, end);
        }
    }

    /** It is back already: only {@code contact_ms} more. */
    public void endDisturbance(String machine, Duration now) {
        disturbedUntil = now.plus(bounds.contact());
        outOfContactUntil.put(machine, disturbedUntil);
    }

    private boolean isInContact(Duration now, String machine) {
        return outOfContactUntil.getOrDefault(machine, Duration.ZERO).compareTo(now) <= 0;
    }

    // Clients.

    /** {@code request}: method, path and body, as a runner is to see them. */
    public void recordTrySent(Duration now, String attemptId, Route route, String request, String machine) {
        triesSent++;
        tries.put(attemptId, new Try(now, route, request, machine));
    }

    /**
     * A whole answer has come.
     *
     * @param seal null where there is none
     * @param answeredId what the answer names as the attempt; null where it names none
     */
    public void recordAnswer(Duration now, String attemptId, int status, String seal, String answeredId, byte[] body) {
        Try sentTry = tries.get(attemptId);
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
            } else if (!Arrays.equals(body, bodyFor(seal))) {
                breach(now, Rule.MIXED, attemptId + ": a success with another body than the runner's");
            }
        } else if (RetryPolicy.promisesNotExecuted(status)) {
            sentTry.refused = true;
            checkRefused(now, attemptId, sentTry);
        } else if (status / 100 == 3 || status / 100 == 4) {
            checkDenied(now, attemptId, sentTry, status);
        }
    }

    private void checkDenied(Duration now, String attemptId, Try sentTry, int status) {
        boolean routeInAll = versionsPossiblyInForce(sentTry).stream()
                .allMatch(version -> version.serviceByRoute.containsKey(routeKey(sentTry.route)));
        if (!routeInAll || !isInContact(now, sentTry.machine)) {
            return;
        }
        deniedTries++;
        if (status == 404
                && versions.stream()
                        .anyMatch(version -> !version.serviceByRoute.containsKey(routeKey(sentTry.route)))) {
            breach(now, Rule.CONFIG, attemptId + ": 404 on " + sentTry.route.name() + ", which is there");
        }
    }

    /** What came was no answer, or came where no request was waiting; {@code attemptId} null for the latter. */
    public void recordMalformedAnswer(Duration now, String attemptId) {
        if (attemptId == null || !tries.get(attemptId).brokenByRunner) {
            breach(
                    now,
                    Rule.MIXED,
                    attemptId == null
                            ? "an answer where no request was waiting"
                            : attemptId + ": bytes that are no answer");
        }
    }

    /** All is over with what a client wanted; {@code status} of its last try, 0 where no answer came. */
    public void recordRequestEnded(Route route, Duration elapsed, int status) {
        requestCount++;
        if (status / 100 == 2) {
            servedCount++;
            servedInAim += elapsed.compareTo(route.aim()) <= 0 ? 1 : 0;
            latency.recordValue(elapsed.toNanos() / 1000);
        } else {
            String outcome = elapsed.compareTo(route.deadline()) >= 0 ? "deadline" : status == 0 ? "cut" : "" + status;
            unservedByOutcome
                    .computeIfAbsent(route.service(), k -> new TreeMap<>())
                    .merge(outcome, 1, Integer::sum);
        }
    }

    /** What became of those that were not servedCount: outcome often the last try ended outcome, by service. */
    public Map<String, Map<String, Integer>> unservedByService() {
        return unservedByOutcome;
    }

    // RunnerSockets.

    /** A runner begins to work on a request. */
    public void recordRun(
            Duration now, String attemptId, String service, String seal, String request, boolean succeeds) {
        runs.put(seal, new Run(attemptId, succeeds));
        Try sentTry = tries.get(attemptId);
        if (sentTry == null || !sentTry.request.equals(request)) {
            breach(
                    now,
                    Rule.UNASKED,
                    attemptId
                            + (sentTry == null
                                    ? ": run, and sent by no client"
                                    : ": run as " + request + ", sent as " + sentTry.request));
            return;
        }
        sentTry.runs++;
        if (!sentTry.route.idempotent() && sentTry.runs > 1) {
            breach(now, Rule.TWICE, attemptId + " was run " + sentTry.runs + " times");
        }
        checkRefused(now, attemptId, sentTry);
        String key = routeKey(sentTry.route);
        if (versions.stream().noneMatch(version -> service.equals(version.serviceByRoute.get(key)))) {
            breach(now, Rule.ROUTE, attemptId + " of " + sentTry.route.name() + " was run by " + service);
        } else if (isInContact(now, sentTry.machine)
                && versionsPossiblyInForce(sentTry).stream()
                        .noneMatch(version -> service.equals(version.serviceByRoute.get(key)))) {
            breach(now, Rule.CONFIG, attemptId + " of " + sentTry.route.name() + " was run by the old " + service);
        }
    }

    /** The runner will break its answer off, or send what is none. */
    public void expectBrokenAnswer(String attemptId) {
        Try sentTry = tries.get(attemptId);
        if (sentTry != null) {
            sentTry.brokenByRunner = true;
        }
    }

    /** A runner turns a request away as {@code max_concurrency} are at work. */
    public void recordRejectedAsFull(Duration now, String service) {
        rejectedAsFull++;
        if (now.compareTo(disturbedUntil) < 0) {
            return;
        }
        Deque<Duration> times = fullRejections.computeIfAbsent(service, k -> new ArrayDeque<>());
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
    public static byte[] bodyFor(String seal) {
        byte[] body = new byte[2400];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) seal.charAt(i % seal.length());
        }
        return body;
    }

    private void checkRefused(Duration now, String attemptId, Try sentTry) {
        if (sentTry.refused && sentTry.runs > 0 && !sentTry.route.idempotent()) {
            breach(now, Rule.REFUSED, attemptId + " was run and refused");
        }
    }

    /** The versions that may be in force for a request, by when it was sent. */
    private List<Version> versionsPossiblyInForce(Try sentTry) {
        int from = 0;
        for (int i = 0; i < versions.size(); i++) {
            Duration acknowledgedAt = versions.get(i).acknowledgedAt;
            from = acknowledgedAt != null
                            && acknowledgedAt.plus(bounds.configApply()).compareTo(sentTry.sentAt) < 0
                    ? i
                    : from;
        }
        return versions.subList(from, versions.size());
    }

    private void breach(Duration now, Rule rule, String message) {
        breachCounts.merge(rule, 1, Integer::sum);
        if (breachMessages.size() < MAX_LISTED_BREACHES) {
            breachMessages.add(String.format(Locale.ROOT, "%s at %.3f s: %s", rule, now.toMillis() / 1e3, message));
        }
    }

    // The verdict.

    public int breachCount(Rule rule) {
        return rule == Rule.DENIED ? (deniedTries > 5 + triesSent / 500 ? 1 : 0) : breachCounts.get(rule);
    }

    public int breachCount() {
        int total = 0;
        for (Rule rule : Rule.values()) {
            total += breachCount(rule);
        }
        return total;
    }

    /** The first breaches, one a line. */
    public List<String> breachMessages() {
        return breachMessages;
    }

    public long requestCount() {
        return requestCount;
    }

    public long servedCount() {
        return servedCount;
    }

    public String verdict() {
        List<String> rules = new ArrayList<>();
        for (Rule rule : Rule.values()) {
            rules.add(rule + " " + breachCount(rule));
        }
        return String.format(
                Locale.ROOT,
                "rules broken: %d (%s); served %d of %d (%.3f), in aim %.3f, p50 %.0f ms, "
                        + "p99 %.0f ms; turned away as full %d",
                breachCount(),
                String.join(", ", rules),
                servedCount,
                requestCount,
                servedCount / (double) Math.max(1, requestCount),
                servedInAim / (double) Math.max(1, requestCount),
                latency.getValueAtPercentile(50) / 1e3,
                latency.getValueAtPercentile(99) / 1e3,
                rejectedAsFull);
    }
}
