package saltdale.rig.judge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import saltdale.model.Workload;
import saltdale.rig.fleet.ColdBudget;
import saltdale.rig.plan.RunnerType;

/**
 * Checks the four dispatching rules against events observed outside the dispatchers. Events must arrive in time
 * order. A request is discarded once no later event can affect its verdict.
 */
public final class Judge implements EventObserver {
    /** The longest time that a resumed dispatcher may take to process what arrived during its pause. */
    private static final Duration MAX_CATCH_UP = Duration.ofMillis(250);

    /** How long after a disturbance of a link delayed messages may still arrive. */
    private static final Duration LINK_SETTLE_TIME = Duration.ofSeconds(2);

    /** One new connection per this many requests may be closed without an answer, as the platform's judge allows. */
    private static final int REQUESTS_PER_ALLOWED_CLOSED_CONNECTION = 200;

    /** Violations beyond this number, or beyond a tenth of it of one kind, are only counted. */
    private static final int MAX_LISTED_VIOLATIONS = 200;

    /** An attempt as its runner received it. */
    private static final class ReceivedAttempt {
        final int runner;
        final Duration receivedAt;
        boolean notStarted;
        boolean endUnknown; // true on a disturbed link, where the end can't be observed
        Duration endedAt;

        ReceivedAttempt(int runner, Duration receivedAt) {
            this.runner = runner;
            this.receivedAt = receivedAt;
        }
    }

    /** A request and the events observed about it. */
    private static final class JudgedRequest {
        final String id;
        final Workload workload;
        final int dispatcher;
        final Duration deadline;
        final List<ReceivedAttempt> attempts = new ArrayList<>(2);
        final Set<String> results = new HashSet<>(2);
        Duration endedAt;
        boolean answered;
        boolean excused;
        boolean connectionLost;
        boolean newConnectionClosed;
        int effectCount;

        JudgedRequest(String id, Workload workload, int dispatcher, Duration deadline) {
            this.id = id;
            this.workload = workload;
            this.dispatcher = dispatcher;
            this.deadline = deadline;
        }

        ReceivedAttempt lastAttemptAt(int runner) {
            for (int i = attempts.size() - 1; i >= 0; i--) {
                if (attempts.get(i).runner == runner) {
                    return attempts.get(i);
                }
            }
            return null;
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(attempt -> !attempt.notStarted);
        }
    }

    /** The last list entry that a dispatcher received about a runner. */
    private record ListEntry(Duration receivedAt, ListedHealth health, Duration runnerStartedAt) {}

    /** The time after the start of a runner in which it has less than its full capacity. */
    private static final class ColdPhase {
        RunnerType make;
        Duration startedAt;
        ColdBudget budget;
        boolean reported;
    }

    private final JudgeSettings settings;
    private final Duration retention;
    private final Map<String, JudgedRequest> requests = new HashMap<>();
    private final Deque<JudgedRequest> requestsInOrder = new ArrayDeque<>();
    private final Map<Long, ListEntry> listEntries = new HashMap<>();
    private final Map<Integer, ColdPhase> coldPhases = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private final Map<Violation.Kind, Long> countsByKind = new EnumMap<>(Violation.Kind.class);
    private final Map<Integer, Duration> pausedSince = new HashMap<>(); // by dispatcher
    /** List entries sent to paused dispatchers, by dispatcher; they count as received when it resumes. */
    private final Map<Integer, List<Runnable>> deferredListEntries = new HashMap<>();

    /** By link; the maximum duration while the disturbance lasts. */
    private final Map<Long, Duration> disturbedUntil = new HashMap<>();

    private long requestCount;
    private long answeredCount;
    private long attemptCount;
    private long closedConnectionCount;
    /** By dispatcher and tenth of a second. */
    private final Map<String, Integer> closedConnectionsBySource = new TreeMap<>();

    private Duration lastResumedAt = Duration.ZERO; // when the last paused dispatcher resumed

    /**
     * @param retention how long after the deadline of a request events about it may still arrive
     */
    public Judge(JudgeSettings settings, Duration retention) {
        this.settings = settings;
        this.retention = retention;
    }

    /** The recorded violations; the rest is only counted, see {@link #countsByKind}. */
    public List<Violation> violations() {
        return violations;
    }

    /** The number of violations of each kind that occurred. */
    public Map<Violation.Kind, Long> countsByKind() {
        return countsByKind;
    }

    /** The number of all violations. */
    public long violationCount() {
        return countsByKind.values().stream().mapToLong(Long::longValue).sum();
    }

    /** The number of requests sent by clients; each try of a client counts. */
    public long requestCount() {
        return requestCount;
    }

    /** The number of requests that received a complete final answer. */
    public long answeredCount() {
        return answeredCount;
    }

    /** The number of attempts received by runners. */
    public long attemptCount() {
        return attemptCount;
    }

    private void report(Violation.Kind kind, Duration at, String subject, String detail) {
        if (countsByKind.merge(kind, 1L, Long::sum) <= MAX_LISTED_VIOLATIONS / 10
                && violations.size() < MAX_LISTED_VIOLATIONS) {
            violations.add(new Violation(kind, at, subject, detail));
        }
    }

    // ---- Events at clients.

    @Override
    public void requestSent(Duration at, String id, Workload workload, int dispatcher, Duration clientTimeout) {
        requestCount++;
        JudgedRequest request = new JudgedRequest(id, workload, dispatcher, at.plus(clientTimeout));
        requests.put(id, request);
        requestsInOrder.add(request);
        closeExpiredRequests(at);
    }

    @Override
    public void answerReceived(Duration at, String id, FinalAnswer answer, String result) {
        JudgedRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        if (request.answered) {
            report(Violation.Kind.ANSWERED_TWICE, at, id, "another final answer, " + answer);
            return;
        }
        answeredCount++;
        request.answered = true;
        Duration latestAllowedAt = request.deadline.plus(settings.answerGrace()).plus(settings.timingTolerance());
        if (at.compareTo(latestAllowedAt) > 0 && !request.excused) {
            report(
                    Violation.Kind.ANSWERED_LATE,
                    at,
                    id,
                    millisText(at.minus(request.deadline)) + " after the client timeout");
        }
        request.endedAt = at;
        if (answer == FinalAnswer.FULFILLED && !request.results.contains(result)) {
            report(Violation.Kind.ANSWER_NOBODY_MADE, at, id, "no runner produced this result for it");
        } else if (answer == FinalAnswer.SHED && !mayShed(request)) {
            report(Violation.Kind.SHED_AFTER_RUN, at, id, request.workload.repeatSafety + " and may have run");
        } else if (answer == FinalAnswer.GIVEN_UP) {
            checkDelayedGiveUp(at, request);
        }
    }

    /** Rule 2: a shed response states that a retry is harmless. */
    private static boolean mayShed(JudgedRequest request) {
        Workload workload = request.workload;
        return workload.repeatSafety == Workload.RepeatSafety.PURE
                || !request.mayHaveRun()
                || workload.repeatSafety == Workload.RepeatSafety.RECEIPTED
                        && workload.dedupScope == Workload.DedupScope.ALL;
    }

    /**
     * Reports an effectful request that was given up late: once its attempts have ended, no further attempt is
     * possible, and the answer is due at once.
     */
    private void checkDelayedGiveUp(Duration at, JudgedRequest request) {
        if (request.workload.repeatSafety != Workload.RepeatSafety.EFFECTFUL || !request.mayHaveRun()) {
            return;
        }
        Duration lastEndedAt = Duration.ZERO;
        for (ReceivedAttempt attempt : request.attempts) {
            if (attempt.endedAt == null || attempt.endUnknown) {
                return;
            }
            lastEndedAt = attempt.endedAt.compareTo(lastEndedAt) > 0 ? attempt.endedAt : lastEndedAt;
        }
        Duration maxDelay = settings.timingTolerance().plus(Duration.ofMillis(250));
        if (at.minus(lastEndedAt).compareTo(maxDelay) > 0 && at.compareTo(request.deadline) <= 0) {
            report(
                    Violation.Kind.HELD_BACK,
                    at,
                    request.id,
                    "given up " + millisText(at.minus(lastEndedAt)) + " after its last possible attempt had ended");
        }
    }

    @Override
    public void connectionLost(Duration at, String id) {
        JudgedRequest request = requests.get(id);
        if (request != null && request.endedAt == null) {
            request.endedAt = at;
            request.connectionLost = true; // judged at the end: a kill of the dispatcher may be reported later
        }
    }

    @Override
    public void newConnectionClosed(Duration at, String id) {
        JudgedRequest request = requests.get(id);
        if (request != null && request.endedAt == null) {
            request.newConnectionClosed = true; // judged at the end: a kill of the dispatcher may be reported later
            request.endedAt = at;
        }
    }

    @Override
    public void clientLeft(Duration at, String id) {
        JudgedRequest request = requests.get(id);
        if (request != null && request.endedAt == null) {
            request.excused = true;
            request.endedAt = at;
        }
    }

    @Override
    public void dispatcherKilled(Duration at, int dispatcher) {
        for (JudgedRequest request : requests.values()) {
            if (request.dispatcher == dispatcher && !request.answered) {
                request.excused = true;
            }
        }
        listEntries.keySet().removeIf(key -> (int) (key >> 32) == dispatcher); // lost with the process
    }

    @Override
    public void dispatcherPaused(Duration at, int dispatcher) {
        pausedSince.putIfAbsent(dispatcher, at);
        deferredListEntries.putIfAbsent(dispatcher, new ArrayList<>());
    }

    /**
     * Excuses requests whose deadline passed during the pause, or so soon after it that the dispatcher could hardly
     * read them in time. List entries sent during the pause count as received now.
     */
    @Override
    public void dispatcherResumed(Duration earliest, Duration latest, int dispatcher) {
        Duration pausedAt = pausedSince.remove(dispatcher);
        if (pausedAt == null) {
            return;
        }
        Duration pauseLength = latest.minus(pausedAt);
        Duration until = latest.plus(pauseLength.compareTo(MAX_CATCH_UP) < 0 ? pauseLength : MAX_CATCH_UP);
        for (JudgedRequest request : requests.values()) {
            if (request.dispatcher == dispatcher && !request.answered && request.deadline.compareTo(until) <= 0) {
                request.excused = true;
            }
        }
        lastResumedAt = latest;
        deferredListEntries.remove(dispatcher).forEach(Runnable::run);
    }

    @Override
    public void linkChanged(Duration at, int runner, int dispatcher, boolean clear) {
        disturbedUntil.put(
                linkKey(dispatcher, runner), clear ? at.plus(LINK_SETTLE_TIME) : Duration.ofSeconds(Long.MAX_VALUE));
        if (!clear) { // cancellations over this link can't be observed from now on
            for (JudgedRequest request : requests.values()) {
                ReceivedAttempt attempt = request.dispatcher == dispatcher ? request.lastAttemptAt(runner) : null;
                if (attempt != null && attempt.endedAt == null) {
                    attempt.endedAt = at;
                    attempt.endUnknown = true;
                }
            }
        }
    }

    /**
     * True if messages over this link may arrive late, or cancellations may be lost, without a fault of the
     * dispatcher.
     */
    private boolean isDisturbed(Duration at, int runner, int dispatcher) {
        Duration until = disturbedUntil.get(linkKey(dispatcher, runner));
        return until != null && at.compareTo(until) < 0;
    }

    // ---- Events at runners and of the runner list.

    @Override
    public void attemptReceived(
            Duration firstByteAt, Duration at, String id, int runner, int dispatcher, double workSeconds) {
        attemptCount++;
        checkColdLimit(at, runner, dispatcher);
        boolean disturbed = isDisturbed(at, runner, dispatcher);
        if (!disturbed) {
            checkListedHealth(firstByteAt, id, runner, dispatcher);
        }
        JudgedRequest request = requests.get(id);
        if (request == null) {
            return; // the client recorded a later time for the request, or the request was discarded long ago
        }
        Workload workload = request.workload;
        if (!workload.zones.isEmpty() && !workload.zones.contains(settings.zones()[runner])
                || !workload.machineTypes.isEmpty()
                        && !workload.machineTypes.contains(settings.machineTypes()[runner])) {
            report(
                    Violation.Kind.MISPLACED,
                    at,
                    id,
                    "dispatched to runner " + runner + " of zone " + settings.zones()[runner] + " and machine type "
                            + settings.machineTypes()[runner] + ", where workload " + workload.name + " may not run");
        }
        Duration latestAfterEnd = request.endedAt == null ? null : request.endedAt.plus(settings.timingTolerance());
        Duration latestAllowedAt = request.deadline.plus(settings.answerGrace()).plus(settings.timingTolerance());
        if (!disturbed
                && (latestAfterEnd != null && firstByteAt.compareTo(latestAfterEnd) > 0
                        || firstByteAt.compareTo(latestAllowedAt) > 0)) {
            report(
                    Violation.Kind.SENT_AFTER_END,
                    at,
                    id,
                    "dispatched to runner " + runner + " by dispatcher " + dispatcher
                            + ", "
                            + millisText(
                                    firstByteAt.minus(request.endedAt == null ? request.deadline : request.endedAt))
                            + " after " + (request.endedAt == null ? "the client timeout" : "its end"));
        }
        checkRepeat(at, request, runner, disturbed);
        ReceivedAttempt attempt = new ReceivedAttempt(runner, at);
        attempt.endedAt = disturbed ? at : null;
        attempt.endUnknown = disturbed;
        request.attempts.add(attempt);
    }

    private void checkRepeat(Duration at, JudgedRequest request, int runner, boolean disturbed) {
        Workload workload = request.workload;
        for (ReceivedAttempt earlier : request.attempts) {
            if (earlier.endedAt == null && !earlier.notStarted && !settings.parallelAttempts() && !disturbed) {
                report(
                        Violation.Kind.TWO_OUT,
                        at,
                        request.id,
                        "dispatched to runner " + runner + " while an attempt is pending at runner " + earlier.runner);
            }
            if (earlier.notStarted || workload.repeatSafety == Workload.RepeatSafety.PURE) {
                continue;
            }
            if (workload.repeatSafety == Workload.RepeatSafety.EFFECTFUL) {
                report(
                        Violation.Kind.REPEATED_EFFECTFUL,
                        at,
                        request.id,
                        "dispatched again although it may have run at runner " + earlier.runner);
            } else if (!inSameDedupScope(workload, earlier.runner, runner)) {
                report(
                        Violation.Kind.OUTSIDE_GROUP,
                        at,
                        request.id,
                        "it may have run at runner " + earlier.runner + ", whose receipts runner " + runner
                                + " does not know");
            } else if (!disturbed
                    && at.compareTo(earlier.receivedAt
                                    .plus(workload.dedupWindow)
                                    .plus(settings.timingTolerance()))
                            > 0) {
                report(Violation.Kind.AFTER_WINDOW, at, request.id, "dispatched again after its receipt had expired");
            }
        }
    }

    private boolean inSameDedupScope(Workload workload, int runner, int otherRunner) {
        return switch (workload.dedupScope) {
            case ALL -> true;
            case ZONE -> settings.zones()[runner].equals(settings.zones()[otherRunner]);
            case CELL -> settings.cells()[runner] == settings.cells()[otherRunner];
        };
    }

    private void checkListedHealth(Duration firstByteAt, String id, int runner, int dispatcher) {
        ListEntry entry = listEntries.get(linkKey(dispatcher, runner));
        if (entry == null
                || entry.health == ListedHealth.UP
                || firstByteAt.compareTo(
                                entry.receivedAt.plus(settings.drainGrace()).plus(settings.timingTolerance()))
                        <= 0) {
            return;
        }
        report(
                entry.health == ListedHealth.GONE ? Violation.Kind.SENT_TO_GONE : Violation.Kind.SENT_TO_DRAINING,
                firstByteAt,
                id,
                "dispatcher " + dispatcher + " had received the list entry of runner " + runner + " "
                        + millisText(firstByteAt.minus(entry.receivedAt))
                        + " before");
    }

    private void checkColdLimit(Duration at, int runner, int dispatcher) {
        ColdPhase coldPhase = coldPhases.get(runner);
        if (coldPhase == null || coldPhase.budget == null) {
            return;
        }
        Duration age = at.minus(coldPhase.startedAt);
        Duration warmUpTime = coldPhase.make.warmUpTime();
        if (age.compareTo(warmUpTime) >= 0) {
            coldPhase.budget = null;
            return;
        }
        double share = coldPhase.make.coldCapacityShare()
                + (1 - coldPhase.make.coldCapacityShare()) * age.toNanos() / warmUpTime.toNanos();
        ListEntry entry = listEntries.get(linkKey(dispatcher, runner));
        boolean informed = entry != null
                && entry.runnerStartedAt != null
                && entry.runnerStartedAt.compareTo(coldPhase.startedAt) >= 0;
        boolean exceeded =
                coldPhase.budget.addAndCheckExceeded(at.toNanos(), share * coldPhase.make.capacity(), informed);
        if (exceeded && coldPhase.budget.informedShare() >= 2.0 / 3 && !coldPhase.reported) {
            coldPhase.reported = true;
            report(
                    Violation.Kind.COLD_PUSHED_OVER,
                    at,
                    "runner " + runner,
                    "received more than " + settings.coldLimitMultiple() + " times its capacity, " + millisText(age)
                            + " after its start");
        }
    }

    @Override
    public void attemptNotStarted(Duration at, String id, int runner) {
        ReceivedAttempt attempt = findAttempt(id, runner);
        if (attempt != null) {
            attempt.notStarted = !settings.lateRejections();
            attempt.endedAt = at;
        }
    }

    @Override
    public void attemptEnded(Duration at, String id, int runner) {
        ReceivedAttempt attempt = findAttempt(id, runner);
        if (attempt != null && attempt.endedAt == null) {
            attempt.endedAt = at;
        }
    }

    private ReceivedAttempt findAttempt(String id, int runner) {
        JudgedRequest request = requests.get(id);
        return request == null ? null : request.lastAttemptAt(runner);
    }

    @Override
    public void effectProduced(Duration at, String id, int runner, String result) {
        JudgedRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        request.results.add(result);
        if (++request.effectCount > 1 && request.workload.repeatSafety != Workload.RepeatSafety.PURE) {
            report(Violation.Kind.EFFECT_TWICE, at, id, "runner " + runner + " ran it after another run");
        }
    }

    @Override
    public void duplicateAnswered(Duration at, String id, String result) {
        JudgedRequest request = requests.get(id);
        if (request != null) {
            request.results.add(result);
        }
    }

    @Override
    public void runnerSilent(Duration at, int runner) {
        for (JudgedRequest request : requests.values()) {
            ReceivedAttempt attempt = request.lastAttemptAt(runner);
            if (attempt != null && attempt.endedAt == null) {
                attempt.endedAt = at;
            }
        }
    }

    @Override
    public void runnerStarted(Duration at, int runner, RunnerType make) {
        ColdPhase coldPhase = new ColdPhase();
        coldPhase.make = make;
        coldPhase.startedAt = at;
        coldPhase.budget =
                new ColdBudget(settings.coldLimitMultiple(), settings.coldLimitWindow(), settings.meanWorkSeconds());
        coldPhases.put(runner, coldPhase);
    }

    @Override
    public void listEntryReceived(
            Duration at, int dispatcher, int runner, ListedHealth health, Duration runnerStartedAt) {
        if (pausedSince.containsKey(dispatcher)) {
            deferredListEntries
                    .get(dispatcher)
                    .add(() -> listEntryReceived(lastResumedAt, dispatcher, runner, health, runnerStartedAt));
            return;
        }
        // The grace period starts with the first entry that isn't UP; later such entries don't extend it.
        listEntries.merge(
                linkKey(dispatcher, runner),
                new ListEntry(at, health, runnerStartedAt),
                (previous, next) -> previous.health != ListedHealth.UP && next.health != ListedHealth.UP
                        ? new ListEntry(previous.receivedAt, next.health, next.runnerStartedAt)
                        : next);
    }

    private static long linkKey(int dispatcher, int runner) {
        return (long) dispatcher << 32 | runner;
    }

    // ---- Verdicts.

    private void closeExpiredRequests(Duration now) {
        while (!requestsInOrder.isEmpty()
                && now.compareTo(requestsInOrder.peek().deadline.plus(retention)) > 0) {
            closeRequest(requestsInOrder.poll());
        }
    }

    /** Ends the observation: requests without an answer count as lost. */
    public void finish() {
        while (!requestsInOrder.isEmpty()) {
            closeRequest(requestsInOrder.poll());
        }
        if (closedConnectionCount * REQUESTS_PER_ALLOWED_CLOSED_CONNECTION > requestCount) {
            report(
                    Violation.Kind.LOST,
                    lastResumedAt,
                    closedConnectionCount + " requests",
                    "their new connections were closed without an answer: dispatcher " + closedConnectionsBySource);
        }
    }

    private void closeRequest(JudgedRequest request) {
        if (request.newConnectionClosed) {
            if (!request.excused) {
                closedConnectionCount++;
                closedConnectionsBySource.merge(
                        request.dispatcher + " at " + request.endedAt.toMillis() / 100 / 10.0 + " s", 1, Integer::sum);
            }
        } else if (!request.answered
                && !request.excused
                && !pausedSince.containsKey(request.dispatcher)
                && (request.connectionLost || request.endedAt == null)) {
            report(
                    Violation.Kind.LOST,
                    request.connectionLost ? request.endedAt : request.deadline,
                    request.id,
                    "dispatcher "
                            + request.dispatcher
                            + (request.connectionLost
                                    ? " closed its connection without a complete answer"
                                    : " sent no final answer"));
        }
        requests.remove(request.id, request);
    }

    private static String millisText(Duration duration) {
        return duration.toMillis() + " ms";
    }
}
