package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.LoadReport;
import saltdale.rig.plan.RunnerType;

/**
 * A model of a runner, without I/O or a clock: its owner passes the time and receives the events of the jobs through a
 * {@link JobListener}. Running jobs share the cores; a disturbance changes their rate from its beginning.
 *
 * <p>Between two changes all rates are constant, so that the time of the next end is known; the capacity of a cold
 * runner grows in small steps.
 */
public final class RunnerModel {
    /** The response of a runner to a job offered to it. */
    public enum OfferResult {
        ACCEPTED,
        /** The queue is full. */
        FULL,
        /** The runner accepts no new jobs. */
        DRAINING,
        /** The job failed at once. */
        ERROR,
        /** The offer exceeded the limit of the cold runner, which has crashed. */
        CRASHED
    }

    /**
     * How an accepted job ended, unless it was cancelled. A shed job has run but is reported like a returned one, which
     * has not.
     */
    public enum JobEnd {
        DONE,
        SHED,
        FAILED,
        /** Returned by a draining runner before its start. */
        RETURNED,
        /** Lost with the process of the runner. */
        LOST
    }

    /** Receives the events of the accepted jobs. */
    public interface JobListener {
        void started(Duration at, RunnerJob job);

        /** The job has done this share of its work. */
        void progressed(Duration at, RunnerJob job, double share);

        void ended(Duration at, RunnerJob job, JobEnd end);
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final int WARM_UP_STEPS = 64;
    private static final long DUPLICATE_WORK_NANOS = 1_000_000; // time to answer a duplicate

    private record LoadSample(long atNanos, int waiting, int running) {}

    public final RunnerType make;
    private final JobListener listener;
    private final SplittableRandom random;
    private final ReceiptStore.ByScope receipts;
    private final ColdBudget coldBudget;
    private final List<RunnerJob> running = new ArrayList<>();
    private final List<RunnerJob> waiting = new ArrayList<>();
    private final Deque<LoadSample> loadHistory = new ArrayDeque<>();
    private RunnerCondition condition = RunnerCondition.NORMAL;
    private long nowNanos;
    private long startedNanos = Long.MIN_VALUE;
    private long nextWarmUpStepNanos = NEVER;
    private boolean up = true;
    private boolean draining;
    private boolean crashed;
    private boolean advancing;
    private double jobRate; // seconds of work per second, for each running job

    /**
     * @param receipts null if the runner stores none
     * @param coldLimitMultiple a cold runner crashes if the jobs offered within {@code coldLimitWindow} exceed this
     *     multiple of its capacity; 0 for no limit
     * @param meanWorkSeconds the mean work of a job, with which that is calculated
     */
    public RunnerModel(
            RunnerType make,
            ReceiptStore.ByScope receipts,
            double coldLimitMultiple,
            Duration coldLimitWindow,
            double meanWorkSeconds,
            SplittableRandom random,
            JobListener listener) {
        this.make = make;
        this.receipts = receipts;
        this.random = random;
        this.listener = listener;
        this.coldBudget =
                coldLimitMultiple == 0 ? null : new ColdBudget(coldLimitMultiple, coldLimitWindow, meanWorkSeconds);
    }

    /** True unless its process was stopped or has crashed. */
    public boolean isUp() {
        return up && !crashed;
    }

    /** True if it accepts no new jobs. */
    public boolean isDraining() {
        return draining;
    }

    /** True if it crashed by overload while it was cold; it stays down until the next start. */
    public boolean hasCrashed() {
        return crashed;
    }

    /** The number of jobs that run or wait. */
    public int heldCount() {
        return running.size() + waiting.size();
    }

    /** The number of jobs that wait. */
    public int waitingCount() {
        return waiting.size();
    }

    /** The time of the last start; null if that was long ago. */
    public Duration startedAt() {
        return startedNanos == Long.MIN_VALUE ? null : Duration.ofNanos(startedNanos);
    }

    /** The share of its full capacity that it has at this time: below 1 while it is cold. */
    public double capacityShare(Duration at) {
        return capacityShare(at.toNanos());
    }

    private double capacityShare(long at) {
        double warmUpNanos = make.warmUpTime().toNanos();
        return startedNanos == Long.MIN_VALUE || at - startedNanos >= warmUpNanos
                ? 1
                : make.coldCapacityShare()
                        + (1 - make.coldCapacityShare()) * Math.max(0, (at - startedNanos) / warmUpNanos);
    }

    /** The time of the next event or change of state without a call; null for never. */
    public Duration nextEventAt() {
        long nextNanos = nextEventNanos();
        return nextNanos == NEVER ? null : Duration.ofNanos(nextNanos);
    }

    private long nextEventNanos() {
        long nextNanos = running.isEmpty() ? NEVER : nextWarmUpStepNanos;
        for (RunnerJob job : running) {
            long endNanos = jobRate <= 0
                    ? NEVER
                    : nowNanos + Math.max(0, (long) Math.ceil(job.remainingSeconds / jobRate * 1e9));
            nextNanos = Math.min(nextNanos, Math.min(endNanos, jobRate <= 0 ? NEVER : job.nextProgressNanos));
        }
        return nextNanos;
    }

    /** Advances the model to this time; reports the events until then in order. */
    public void advance(Duration to) {
        if (advancing) {
            return; // a listener has requested a report; without this guard an end could be reported twice
        }
        long untilNanos = to.toNanos();
        advancing = true;
        try {
            for (long nextNanos = nextEventNanos();
                    nextNanos <= untilNanos && nextNanos != NEVER;
                    nextNanos = nextEventNanos()) {
                progressTo(nextNanos);
                processDueEvents();
            }
            progressTo(untilNanos);
        } finally {
            advancing = false;
        }
    }

    private void progressTo(long toNanos) {
        double doneSeconds = jobRate * (toNanos - nowNanos) / 1e9;
        if (doneSeconds > 0) {
            for (RunnerJob job : running) {
                job.remainingSeconds -= doneSeconds;
            }
        }
        nowNanos = Math.max(nowNanos, toNanos);
    }

    private void processDueEvents() {
        if (nextWarmUpStepNanos <= nowNanos) {
            long stepNanos = make.warmUpTime().toNanos() / WARM_UP_STEPS;
            nextWarmUpStepNanos = capacityShare(nowNanos) >= 1 ? NEVER : nowNanos + stepNanos;
        }
        for (RunnerJob job : List.copyOf(running)) {
            if (job.remainingSeconds <= 1e-9) {
                running.remove(job);
                boolean shed = condition.lateShedShare() > 0 && random.nextDouble() < condition.lateShedShare();
                listener.ended(now(), job, job.fails ? JobEnd.FAILED : shed ? JobEnd.SHED : JobEnd.DONE);
            } else if (job.nextProgressNanos <= nowNanos) {
                job.nextProgressNanos = nowNanos + make.progressInterval().toNanos();
                listener.progressed(now(), job, Math.min(1, 1 - job.remainingSeconds / job.totalSeconds));
            }
        }
        startWaitingJobs();
        updateRate();
    }

    /** Offers a job. A rejection costs no work, but while the runner is cold, the offer counts towards its limit. */
    public OfferResult offer(Duration at, RunnerJob job) {
        advance(at);
        if (!isUp()) {
            throw new IllegalStateException("a job was offered to a runner that is down");
        }
        if (coldBudget != null
                && capacityShare(nowNanos) < 1
                && coldBudget.addAndCheckExceeded(nowNanos, capacityShare(nowNanos) * make.capacity())) {
            crash();
            return OfferResult.CRASHED;
        } else if (draining) {
            return OfferResult.DRAINING;
        } else if (random.nextDouble() < condition.errorShare()) {
            return OfferResult.ERROR;
        } else if (running.size() >= make.slots() && waiting.size() >= make.queue()) {
            return OfferResult.FULL;
        }
        job.totalSeconds =
                job.sizeSeconds * (random.nextDouble() < condition.costlyShare() ? condition.costFactor() : 1);
        job.remainingSeconds = job.totalSeconds;
        waiting.add(job);
        startWaitingJobs();
        updateRate();
        return OfferResult.ACCEPTED;
    }

    private void startWaitingJobs() {
        while (running.size() < make.slots() && !waiting.isEmpty() && !condition.stalled()) {
            RunnerJob job = selectNextJob();
            waiting.remove(job);
            job.nextProgressNanos = make.progressInterval().isZero()
                    ? NEVER
                    : nowNanos + make.progressInterval().toNanos();
            if (job.receipt != null
                    && receipts != null
                    && !receipts.of(job.workload).isNew(job.receipt, job.workload.dedupWindow, nowNanos)) {
                job.duplicate = true;
                job.remainingSeconds = Math.min(job.remainingSeconds, DUPLICATE_WORK_NANOS / 1e9);
            }
            running.add(job);
            listener.started(now(), job);
        }
    }

    private RunnerJob selectNextJob() {
        return switch (make.order()) {
            case FIFO -> waiting.get(0);
            case LIFO -> waiting.get(waiting.size() - 1);
            case SHORTEST ->
                waiting.stream()
                        .min(Comparator.comparingDouble(job -> job.remainingSeconds))
                        .orElseThrow();
            case PRIORITY ->
                waiting.stream()
                        .min(Comparator.comparingDouble(job -> -job.workload.importance))
                        .orElseThrow(); // min() returns the first of equals
        };
    }

    /** Cancels a job; true if the runner no longer has it: it was waiting, had ended, or was stopped. */
    public boolean cancel(Duration at, String id, int dispatcher) {
        advance(at);
        boolean wasWaiting = waiting.removeIf(job -> job.id.equals(id) && job.dispatcher == dispatcher);
        boolean isRunning = running.stream().anyMatch(job -> job.id.equals(id) && job.dispatcher == dispatcher);
        if (isRunning && make.cancelStopsRunning()) {
            running.removeIf(job -> job.id.equals(id) && job.dispatcher == dispatcher);
            startWaitingJobs();
        }
        updateRate();
        return wasWaiting || !isRunning || make.cancelStopsRunning();
    }

    /** Sets the disturbances from now on. */
    public void setCondition(Duration at, RunnerCondition next) {
        advance(at);
        condition = next;
        startWaitingJobs();
        updateRate();
    }

    /** Rejects new jobs from now on; with {@code handBack}, waiting jobs end as returned. */
    public void drain(Duration at, boolean handBack) {
        advance(at);
        draining = true;
        if (handBack) {
            for (RunnerJob job : List.copyOf(waiting)) {
                waiting.remove(job);
                listener.ended(now(), job, JobEnd.RETURNED);
            }
        }
        updateRate();
    }

    /** Ends the process; all its jobs are lost. */
    public void stop(Duration at) {
        advance(at);
        up = false;
        loseAllJobs();
    }

    /** Starts the process again, cold. */
    public void start(Duration at) {
        advance(at);
        loseAllJobs();
        up = true;
        draining = false;
        crashed = false;
        startedNanos = nowNanos;
        nextWarmUpStepNanos = nowNanos;
        loadHistory.clear();
        if (coldBudget != null) {
            coldBudget.clear();
        }
        updateRate();
    }

    private void crash() {
        crashed = true;
        loseAllJobs();
    }

    private void loseAllJobs() {
        List<RunnerJob> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        updateRate();
        lost.forEach(job -> listener.ended(now(), job, JobEnd.LOST));
    }

    private void updateRate() {
        int runningCount = running.size();
        double cores = make.cores() * (1 - condition.coresTakenShare());
        double excessLoad =
                Math.max(0, (runningCount + waiting.size()) / (double) make.cores() - make.thrashThreshold());
        jobRate = runningCount == 0 || condition.stalled()
                ? 0
                : Math.min(1, cores / runningCount)
                        * make.speed()
                        * capacityShare(nowNanos)
                        / condition.slowdownFactor()
                        / (1 + make.thrashFactor() * excessLoad);
        loadHistory.addLast(new LoadSample(nowNanos, waiting.size(), runningCount));
        long oldestNeededNanos = nowNanos
                - 2
                        * (make.reportInterval().toNanos()
                                + make.reportDelay().toNanos()
                                + (long) (condition.reportDelaySeconds() * 1e9));
        while (loadHistory.size() > 1 && second(loadHistory).atNanos <= oldestNeededNanos) {
            loadHistory.removeFirst();
        }
    }

    private static LoadSample second(Deque<LoadSample> samples) {
        var iterator = samples.iterator();
        iterator.next();
        return iterator.next();
    }

    /** The load report at this time, as old as its interval and delay make it. */
    public LoadReport report(Duration at) {
        advance(at);
        long sampleNanos = nowNanos - make.reportDelay().toNanos() - (long) (condition.reportDelaySeconds() * 1e9);
        long intervalNanos = make.reportInterval().toNanos();
        sampleNanos = intervalNanos == 0 ? sampleNanos : sampleNanos / intervalNanos * intervalNanos;
        LoadSample sample = new LoadSample(0, 0, 0);
        for (LoadSample candidate : loadHistory) {
            if (candidate.atNanos > sampleNanos) {
                break;
            }
            sample = candidate;
        }
        double queue = sample.waiting * condition.reportedLoadFactor();
        double inProgress = sample.running * condition.reportedLoadFactor();
        return new LoadReport(
                queue,
                inProgress + queue,
                Math.max(0, make.slots() - inProgress),
                Math.min(1, inProgress / make.cores()),
                Double.NaN);
    }

    private Duration now() {
        return Duration.ofNanos(nowNanos);
    }
}
