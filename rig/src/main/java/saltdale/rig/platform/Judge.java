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
 * Checks the contracts by what clients, runners and the operator observed. Events have to be recorded in order of
 * time. The contracts DRAIN, LOST, BUDGET and RECOVER are not checked here.
 */
public final class Judge {
    /** The rules that are checked. */
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
    private static final int MAX_LISTED_BREACHES = 20; // further breaches are only counted

    /** One try of a client request. */
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

    /**
     * A configuration that was sent; it is certain to be in force {@code config_apply_ms} after its acknowledgement.
     */
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
    private final Map<String, Map<String, Integer>> unservedByService = new TreeMap<>();
    private final List<String> breachMessages = new ArrayList<>();
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private Duration disturbedUntil = Duration.ofNanos(Long.MIN_VALUE);
    private long requestCount;
    private long servedCount;
    private long servedInAim;
    private long triesSent;
    private long deniedTries;
    private long rejectedAsFull;

    /** Creates a judge that has seen no events. */
    public Judge(Bounds bounds) {
        this.bounds = bounds;
        for (Rule rule : Rule.values()) {
            breachCounts.put(rule, 0);
        }
    }

    // The operator.

    /** Records that a configuration is sent; returns its index, which {@link #recordChangeAcknowledged} takes. */
    public int recordChangeSent(List<Route> routes) {
        Version version = new Version();
        routes.forEach(route -> version.serviceByRoute.put(routeKey(route), route.service()));
        versions.add(version);
        return versions.size() - 1;
    }

    /** Records the acknowledgement of the configuration with this index. */
    public void recordChangeAcknowledged(Duration now, int version) {
        versions.get(version).acknowledgedAt = now;
    }

    /** Records that the configuration read back is not the one that was acknowledged. */
    public void recordReadBackMismatch(Duration now, String message) {
        breach(now, Rule.CONFIG, message);
    }

    private static String routeKey(Route route) {
        return route.hostname() + route.pathPrefix();
    }

    // Disturbances.

    /**
     * Records that a machine was killed or that runners were harmed. Until {@code until} and for {@code contact_ms}
     * after it, the rules that assume contact don't apply.
     *
     * @param machine the machine out of contact; null if only runners are concerned
     */
    public void beginDisturbance(String machine, Duration until) {
        Duration end = until.plus(bounds.contact());
        disturbedUntil = disturbedUntil.compareTo(end) > 0 ? disturbedUntil : end;
        if (machine != null) {
            outOfContactUntil.put(machine, end);
        }
    }

    /** Records that the machine is back early: the disturbance ends {@code contact_ms} from now. */
    public void endDisturbance(String machine, Duration now) {
        disturbedUntil = now.plus(bounds.contact());
        outOfContactUntil.put(machine, disturbedUntil);
    }

    private boolean isInContact(Duration now, String machine) {
        return outOfContactUntil.getOrDefault(machine, Duration.ZERO).compareTo(now) <= 0;
    }

    // Clients.

    /**
     * Records that a try is sent.
     *
     * @param request method, target and body, as the runner has to receive them
     */
    public void recordTrySent(Duration now, String attemptId, Route route, String request, String machine) {
        triesSent++;
        tries.put(attemptId, new Try(now, route, request, machine));
    }

    /**
     * Records a complete answer.
     *
     * @param seal the runner's seal; null if the answer has none
     * @param answeredId the attempt that the answer names; null if it names none
     */
    public void recordAnswer(Duration now, String attemptId, int status, String seal, String answeredId, byte[] body) {
        Try sentTry = tries.get(attemptId);
        if (answeredId != null && !answeredId.equals(attemptId)) {
            breach(now, Rule.MIXED, attemptId + " got the answer of attempt " + answeredId);
        }
        if (status / 100 == 2) {
            Run run = seal == null ? null : runs.get(seal);
            if (run == null) {
                breach(now, Rule.MIXED, attemptId + ": a success without the seal of a known run");
            } else if (!run.attemptId.equals(attemptId)) {
                breach(now, Rule.MIXED, attemptId + ": a success with the seal of attempt " + run.attemptId);
            } else if (!run.succeeds) {
                breach(now, Rule.MIXED, attemptId + ": a success although the run failed");
            } else if (!Arrays.equals(body, bodyFor(seal))) {
                breach(now, Rule.MIXED, attemptId + ": a success with a body that is not the runner's");
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
            breach(
                    now,
                    Rule.CONFIG,
                    attemptId + ": 404 on " + sentTry.route.name()
                            + ", which is in every version that may be in force");
        }
    }

    /**
     * Records bytes that are no valid answer, or that came while no request was waiting.
     *
     * @param attemptId the attempt that was waiting; null if there was none
     */
    public void recordMalformedAnswer(Duration now, String attemptId) {
        if (attemptId == null || !tries.get(attemptId).brokenByRunner) {
            breach(
                    now,
                    Rule.MIXED,
                    attemptId == null ? "an answer while no request was waiting" : attemptId + ": a malformed answer");
        }
    }

    /**
     * Records the end of a client request with all its tries.
     *
     * @param status the status of the last try; 0 if no answer came
     */
    public void recordRequestEnded(Route route, Duration elapsed, int status) {
        requestCount++;
        if (status / 100 == 2) {
            servedCount++;
            servedInAim += elapsed.compareTo(route.aim()) <= 0 ? 1 : 0;
            latency.recordValue(elapsed.toNanos() / 1000);
        } else {
            String outcome = elapsed.compareTo(route.deadline()) >= 0 ? "deadline" : status == 0 ? "cut" : "" + status;
            unservedByService
                    .computeIfAbsent(route.service(), k -> new TreeMap<>())
                    .merge(outcome, 1, Integer::sum);
        }
    }

    /** The numbers of unserved requests by service and by the outcome of their last try. */
    public Map<String, Map<String, Integer>> unservedByService() {
        return unservedByService;
    }

    // Runners.

    /** Records that a runner begins to execute a request. */
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
                                    ? ": run, but not sent by a client"
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
            breach(
                    now,
                    Rule.CONFIG,
                    attemptId + " of " + sentTry.route.name() + " was run by a service of an outdated version: "
                            + service);
        }
    }

    /** How many runs of this attempt runners have begun. */
    public int runCount(String attemptId) {
        Try sentTry = tries.get(attemptId);
        return sentTry == null ? 0 : sentTry.runs;
    }

    /** Announces that the runner will break its answer off, or send bytes that are no answer. */
    public void expectBrokenAnswer(String attemptId) {
        Try sentTry = tries.get(attemptId);
        if (sentTry != null) {
            sentTry.brokenByRunner = true;
        }
    }

    /** Records that a runner rejects a request because {@code max_concurrency} requests are being executed. */
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
                    service + " rejected as full " + times.size() + " within " + LIMIT_WINDOW.toSeconds() + " s");
            times.clear();
        }
    }

    /** The response body of the run with this seal; no other run has the same. */
    public static byte[] bodyFor(String seal) {
        byte[] body = new byte[2400];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) seal.charAt(i % seal.length());
        }
        return body;
    }

    private void checkRefused(Duration now, String attemptId, Try sentTry) {
        if (sentTry.refused && sentTry.runs > 0 && !sentTry.route.idempotent()) {
            breach(now, Rule.REFUSED, attemptId + " was run although it was refused");
        }
    }

    /** The versions that may be in force for a request, by the time at which it was sent. */
    private List<Version> versionsPossiblyInForce(Try sentTry) {
        int first = 0;
        for (int i = 0; i < versions.size(); i++) {
            Duration acknowledgedAt = versions.get(i).acknowledgedAt;
            first = acknowledgedAt != null
                            && acknowledgedAt.plus(bounds.configApply()).compareTo(sentTry.sentAt) < 0
                    ? i
                    : first;
        }
        return versions.subList(first, versions.size());
    }

    private void breach(Duration now, Rule rule, String message) {
        breachCounts.merge(rule, 1, Integer::sum);
        if (breachMessages.size() < MAX_LISTED_BREACHES) {
            breachMessages.add(String.format(Locale.ROOT, "%s at %.3f s: %s", rule, now.toMillis() / 1e3, message));
        }
    }

    // The verdict.

    /** The number of breaches; for {@link Rule#DENIED}, 1 if more tries than tolerated were denied. */
    public int breachCount(Rule rule) {
        return rule == Rule.DENIED ? (deniedTries > 5 + triesSent / 500 ? 1 : 0) : breachCounts.get(rule);
    }

    /** The number of breaches of all rules. */
    public int breachCount() {
        int total = 0;
        for (Rule rule : Rule.values()) {
            total += breachCount(rule);
        }
        return total;
    }

    /** The first breaches, one message each. */
    public List<String> breachMessages() {
        return breachMessages;
    }

    /** The number of client requests that have ended. */
    public long requestCount() {
        return requestCount;
    }

    /** The number of client requests that ended with a success. */
    public long servedCount() {
        return servedCount;
    }

    /** The result in one line. */
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
