package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.model.Workload;

/**
 * A simple dispatcher that follows the rules, as a baseline for comparisons. With a {@link Defect} it violates one rule
 * on purpose, to verify that the judge detects it. No real dispatcher uses this code.
 */
public final class BaselineDispatcher implements SimulatedDispatcher {
    /** How the runner of an attempt is selected. */
    public enum SelectionPolicy {
        /** A random runner. */
        RANDOM,
        /** Each runner in turn. */
        ROUND_ROBIN,
        /** The fewest outstanding attempts of this dispatcher. */
        LEAST_OUT,
        /** Least outstanding attempts; each dispatcher sheds beyond a fixed number of its own. */
        FIXED_LIMIT,
        /** The fewest held jobs by the true state of all runners, which it sees with a delay. */
        SEES_LATE
    }

    /** A deliberate violation of one rule. */
    public enum Defect {
        /** No violation. */
        NONE,
        /** Never answers some requests. */
        FORGETS,
        /** Sends each shed or failure response twice. */
        ANSWERS_TWICE,
        /** Answers after the client timeout. */
        ANSWERS_LATE,
        /** Sends an attempt after it has given up. */
        SENDS_AFTER_END,
        /** Delays the answer although no further attempt is possible. */
        HOLDS_BACK,
        /** Sends effectful requests again that may have run. */
        REPEATS_EFFECTFUL,
        /** Sheds requests that may have run. */
        SHEDS_WHAT_RAN,
        /** Sends requests again outside their deduplication scope. */
        LEAVES_GROUP,
        /** Sends requests again after their deduplication window. */
        OUTLASTS_WINDOW,
        /** Sends two attempts at the same time. */
        COPIES,
        /** Uses draining runners. */
        IGNORES_DRAIN,
        /** Uses removed runners. */
        IGNORES_GONE,
        /** Prefers cold runners without a limit. */
        FLOODS_COLD,
        /** Ignores the placement constraints of workloads. */
        MISPLACES,
        /** Treats rejected attempts as not run, although runners may reject after a start. */
        TRUSTS_FULL
    }

    private static final int FIXED_LIMIT_PER_RUNNER = 4; // attempts in flight, over all dispatchers

    private final DispatcherSettings settings;
    private final DispatcherActions actions;
    private final SplittableRandom random;
    private final SelectionPolicy policy;
    private final Defect defect;
    private final Set<Runner> runners = new LinkedHashSet<>();
    private final Map<Runner, Duration> coldUntil = new HashMap<>();
    private final Map<Runner, Duration> lastColdDispatchAt = new HashMap<>();
    private final List<Runnable> pendingActions = new ArrayList<>();
    private int nextRoundRobinIndex;

    public BaselineDispatcher(
            DispatcherSettings settings,
            DispatcherActions actions,
            SplittableRandom random,
            SelectionPolicy policy,
            Defect defect) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.policy = policy;
        this.defect = defect;
    }

    @Override
    public void onStart(Duration now) {
        // The list arrives without a subscription.
    }

    @Override
    public void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached) {
        for (RunnerListEntry entry : entries) {
            entry.runner().update(entry, entry.runner().typeStats);
            boolean usable = entry.mode() == Runner.Mode.READY
                    || entry.mode() == Runner.Mode.DRAINING && defect == Defect.IGNORES_DRAIN
                    || entry.mode() == Runner.Mode.GONE && defect == Defect.IGNORES_GONE;
            if (usable) {
                runners.add(entry.runner());
            } else {
                runners.remove(entry.runner());
            }
            if (entry.startedAt() != null) {
                coldUntil.put(entry.runner(), entry.startedAt().plus(settings.warmUpTime));
            }
        }
    }

    @Override
    public void onRequest(Duration now, Request request) {
        pendingActions.add(() -> actions.setTimer(
                request.deadline.minus(now).minusMillis(defect == Defect.ANSWERS_LATE ? -400 : 5), request));
        if (defect == Defect.FORGETS && random.nextInt(20) == 0) {
            return;
        }
        dispatchOrRespond(now, request);
        // Gives up while the attempt is pending, then sends it again.
        if (defect == Defect.SENDS_AFTER_END && !request.attempts.isEmpty()) {
            pendingActions.add(() -> actions.setTimer(Duration.ofMillis(5), request.lastAttempt()));
        }
    }

    private void dispatchOrRespond(Duration now, Request request) {
        boolean overLimit = policy == SelectionPolicy.FIXED_LIMIT
                && request.attempts.isEmpty()
                && runners.stream().mapToInt(r -> r.inFlight.size()).sum() * settings.dispatcherCount
                        >= FIXED_LIMIT_PER_RUNNER * runners.size();
        Runner runner = overLimit ? null : selectRunner(now, request);
        if (runner == null) {
            respondLocally(request);
        } else {
            addAttempt(now, request, runner);
            if (defect == Defect.COPIES) {
                Runner other = selectRunner(now, request);
                if (other != null) {
                    addAttempt(now, request, other);
                }
            }
        }
    }

    private void addAttempt(Duration now, Request request, Runner runner) {
        Attempt attempt = new Attempt(request, runner, now, 1, runner.inFlight.size());
        request.attempts.add(attempt);
        runner.inFlight.add(attempt);
        pendingActions.add(() -> actions.dispatch(attempt, null));
    }

    private Runner selectRunner(Duration now, Request request) {
        List<Runner> eligible = new ArrayList<>();
        for (Runner candidate : runners) {
            if (mayDispatch(request, candidate) && !isColdLimited(now, candidate) && !request.wasSentTo(candidate)) {
                eligible.add(candidate);
            }
        }
        if (defect == Defect.FLOODS_COLD) {
            for (Runner candidate : runners) {
                if (now.compareTo(coldUntil.getOrDefault(candidate, Duration.ZERO)) < 0
                        && mayDispatch(request, candidate)) {
                    return candidate;
                }
            }
        }
        if (eligible.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case RANDOM -> eligible.get(random.nextInt(eligible.size()));
            case ROUND_ROBIN -> eligible.get(nextRoundRobinIndex++ % eligible.size());
            case LEAST_OUT, FIXED_LIMIT, SEES_LATE -> {
                Runner best = null;
                int ties = 0;
                for (Runner candidate : eligible) {
                    int comparison = best == null ? -1 : Double.compare(load(candidate), load(best));
                    ties = comparison < 0 ? 1 : comparison == 0 ? ties + 1 : ties;
                    best = comparison < 0 || comparison == 0 && random.nextInt(ties) == 0 ? candidate : best;
                }
                yield best;
            }
        };
    }

    private double load(Runner runner) {
        return policy == SelectionPolicy.SEES_LATE
                ? Math.max(((RunnerLoadView) actions).heldJobs(runner), runner.inFlight.size())
                : runner.inFlight.size();
    }

    /**
     * Limits the rate of attempts to a cold runner, so that all dispatchers together stay far below its limit. Counts
     * an attempt if it returns false.
     */
    private boolean isColdLimited(Duration now, Runner runner) {
        if (now.compareTo(coldUntil.getOrDefault(runner, Duration.ZERO)) >= 0) {
            return false;
        }
        Duration interval = settings.coldLimitWindow.multipliedBy(settings.dispatcherCount);
        Duration last = lastColdDispatchAt.get(runner);
        if (last != null && now.compareTo(last.plus(interval)) < 0) {
            return true;
        }
        lastColdDispatchAt.put(runner, now);
        return false;
    }

    private boolean mayDispatch(Request request, Runner runner) {
        Workload workload = request.workload;
        if (defect != Defect.MISPLACES && !workload.mayRunOn(runner)) {
            return false;
        } else if (workload.repeatSafety == Workload.RepeatSafety.PURE || !request.mayHaveRun()) {
            return true;
        } else if (workload.repeatSafety == Workload.RepeatSafety.EFFECTFUL) {
            return defect == Defect.REPEATS_EFFECTFUL;
        }
        return defect == Defect.LEAVES_GROUP
                || defect == Defect.OUTLASTS_WINDOW
                || request.attempts.stream().allMatch(attempt -> workload.sharesDedupScope(attempt.runner, runner));
    }

    private boolean mayShed(Request request) {
        Workload workload = request.workload;
        return defect == Defect.SHEDS_WHAT_RAN
                || workload.repeatSafety == Workload.RepeatSafety.PURE
                || !request.mayHaveRun()
                || workload.repeatSafety == Workload.RepeatSafety.RECEIPTED
                        && workload.dedupScope == Workload.DedupScope.ALL;
    }

    private void respondLocally(Request request) {
        if (request.closed) {
            return;
        }
        request.closed = true;
        boolean shed = mayShed(request);
        Runnable response = shed ? () -> actions.shed(request, null) : () -> actions.giveUp(request);
        pendingActions.add(response);
        if (defect == Defect.ANSWERS_TWICE) {
            pendingActions.add(response);
        }
    }

    @Override
    public void onStarted(Duration now, Attempt attempt) {
        attempt.startedAt = now;
    }

    @Override
    public void onProgress(Duration now, Attempt attempt) {
        attempt.lastProgressAt = now;
    }

    @Override
    public void onAttemptEnd(Duration now, Attempt attempt, Outcome outcome, boolean done, LoadReport report) {
        Request request = attempt.request;
        attempt.outcome = outcome;
        attempt.ambiguousRejection =
                outcome == Outcome.TURNED_AWAY && settings.lateRejections && defect != Defect.TRUSTS_FULL;
        attempt.runner.inFlight.remove(attempt);
        if (done) {
            request.closed = true;
        } else if (defect == Defect.ANSWERS_LATE && now.compareTo(request.deadline) >= 0) {
            return;
        } else if (!request.closed && request.pendingAttempt() == null) {
            boolean attemptsLeft = request.attempts.size() < settings.maxAttempts;
            boolean canRetry =
                    attemptsLeft && runners.stream().anyMatch(r -> mayDispatch(request, r) && !request.wasSentTo(r));
            if (defect == Defect.HOLDS_BACK && !canRetry) {
                return; // answers only shortly before the client timeout
            } else if (defect == Defect.OUTLASTS_WINDOW && request.mayHaveRun()) {
                pendingActions.add(() -> actions.setTimer(request.workload.dedupWindow.plusMillis(100), attempt));
            } else if (canRetry) {
                dispatchOrRespond(now, request);
            } else {
                respondLocally(request);
            }
        }
    }

    @Override
    public void onProbeResult(Duration now, Runner runner, boolean answered, Duration rtt, LoadReport report) {
        // It sends no probes.
    }

    @Override
    public void close(Request request) {
        request.closed = true;
        cancelPendingAttempts(request);
    }

    private void cancelPendingAttempts(Request request) {
        for (Attempt attempt : request.attempts) {
            if (attempt.outcome == null) {
                pendingActions.add(() -> actions.cancel(attempt));
            }
        }
    }

    @Override
    public void onTimer(Duration now, Object timerTarget) {
        if (timerTarget instanceof Request request && !request.closed) {
            if (defect == Defect.FORGETS && request.attempts.isEmpty()) {
                return;
            }
            cancelPendingAttempts(request);
            respondLocally(request);
        } else if (timerTarget instanceof Attempt attempt && defect == Defect.SENDS_AFTER_END) {
            if (attempt.outcome == null && !attempt.request.closed) {
                respondLocally(attempt.request);
                pendingActions.add(() -> actions.setTimer(Duration.ofMillis(20), attempt));
            } else if (attempt.outcome == null) {
                dispatchOrRespond(now, attempt.request);
            }
        } else if (timerTarget instanceof Attempt attempt && !attempt.request.closed) {
            dispatchOrRespond(now, attempt.request);
        }
    }

    @Override
    public void applyActions(Duration now) {
        List<Runnable> due = List.copyOf(pendingActions);
        pendingActions.clear();
        due.forEach(Runnable::run);
        if (!pendingActions.isEmpty()) {
            applyActions(now);
        }
    }
}
