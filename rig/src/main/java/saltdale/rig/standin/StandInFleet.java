package saltdale.rig.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.Workload;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.fleet.ReceiptStore;
import saltdale.rig.fleet.TroubleSchedule;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.load.RunnerLoadHistory;
import saltdale.rig.plan.PlannedWorkload;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.Trouble;
import saltdale.rig.ways.LinkRelay;
import saltdale.transport.ConnectionPool;

/** The runners of a day, served on sockets in the runner protocol. Each is a model driven by the event loop's clock. */
public final class StandInFleet {
    /** Request header in which the load generator gives the work of a job, in microseconds. */
    public static final String WORK_HEADER = "Rig-Work-Us";

    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);

    private record Pair(int runner, int dispatcher) {}

    /** The relays for connections from the dispatcher and from the runner, and the pool that uses the latter. */
    private record Links(LinkRelay toRunner, LinkRelay toDispatcher, ConnectionPool callbacks) {}

    final LoopThread loopThread;
    final Scenario day;
    final LoopbackAddresses addresses;
    final Origin origin;
    final EventObserver observer;
    final RunnerStateListener list;
    final TroubleSchedule troubles;
    final RunnerLoadHistory watch;
    private final SplittableRandom random;
    final Map<String, Workload> workloads = new HashMap<>();
    private final List<StandInRunner> runners = new ArrayList<>();
    private final List<ConnectionPool> callbackPools = new ArrayList<>();
    private final Map<Pair, Links> links = new LinkedHashMap<>();
    private final Set<Pair> disturbedPairs = new HashSet<>();
    Duration start = Duration.ZERO;
    private int cutZone = -1;
    long lostReports;
    long requests;

    public StandInFleet(
            LoopThread loopThread,
            Scenario day,
            LoopbackAddresses addresses,
            Origin origin,
            EventObserver observer,
            RunnerStateListener list,
            long seed)
            throws IOException {
        this.loopThread = loopThread;
        this.day = day;
        this.addresses = addresses;
        this.origin = origin;
        this.observer = observer;
        this.list = list;
        this.troubles = new TroubleSchedule(day.troubles);
        this.watch = new RunnerLoadHistory(day.runnerCount);
        this.random = new SplittableRandom(seed);
        for (PlannedWorkload job : day.workloads) {
            workloads.put(job.name(), job.workload());
        }
        for (int j = 0; j < day.dispatcherCount; j++) {
            callbackPools.add(pool(addresses.dispatcher(j)));
        }
        for (int i = 0; i < day.runnerCount; i++) {
            for (int j = 0; j < day.dispatcherCount; j++) {
                int runner = i;
                int dispatcher = j;
                if (day.troubles.stream().anyMatch(t -> t.affectsPath(runner, dispatcher))) {
                    links.put(
                            new Pair(i, j),
                            new Links(
                                    new LinkRelay(
                                            loopThread,
                                            addresses.runner(i, j),
                                            addresses.behindRelay(i, j),
                                            true,
                                            random.split()),
                                    new LinkRelay(
                                            loopThread,
                                            addresses.callbackRelay(i, j),
                                            addresses.dispatcher(j),
                                            false,
                                            random.split()),
                                    pool(addresses.callbackRelay(i, j))));
                }
            }
        }
        List<ReceiptStore.ByScope> receipts = ReceiptStore.of(day);
        for (int i = 0; i < day.runnerCount; i++) {
            runners.add(new StandInRunner(this, i, receipts.get(i), random.split()));
        }
    }

    private ConnectionPool pool(InetSocketAddress address) {
        return new ConnectionPool(
                loopThread.loop, loopThread.sockets, address, JobReportCall.TIMEOUT, Duration.ofSeconds(2));
    }

    /** Where a runner listens for a dispatcher: behind a relay if a trouble affects their link. */
    InetSocketAddress endpointAt(int runner, int dispatcher) {
        return links.containsKey(new Pair(runner, dispatcher))
                ? addresses.behindRelay(runner, dispatcher)
                : addresses.runner(runner, dispatcher);
    }

    /** The connection pool that a runner uses for its calls to a dispatcher. */
    ConnectionPool callbackPool(int runner, int dispatcher) {
        Links pairLinks = links.get(new Pair(runner, dispatcher));
        return pairLinks == null ? callbackPools.get(dispatcher) : pairLinks.callbacks;
    }

    /** Whether the zones of a runner and a dispatcher are cut off from each other. */
    boolean isCut(int runner, int dispatcher) {
        int runnerZone = runner % day.zones.size();
        int dispatcherZone = dispatcher % day.zones.size();
        return runnerZone != dispatcherZone && (cutZone == runnerZone || cutZone == dispatcherZone);
    }

    /** Starts the day at the given time, from which the times of its troubles count. */
    public void begin(Duration startAt) {
        start = startAt;
        for (TroubleSchedule.ScheduledAction scheduled : troubles.scheduledActions()) {
            loopThread.loop.schedule(scheduled.at().plus(start).minus(origin.now()), () -> act(scheduled));
        }
        sample();
    }

    /** The number of job reports that were given up because no attempt was answered. */
    public long lostReports() {
        return lostReports;
    }

    /** The number of requests of all kinds that the runners received. */
    public long requests() {
        return requests;
    }

    /** The samples of the runners' load. */
    public RunnerLoadHistory watch() {
        return watch;
    }

    private void sample() {
        for (StandInRunner runner : runners) {
            runner.model.advance(origin.now());
            watch.sample(origin.now(), runner.number, runner.model.heldCount(), runner.model.isUp() && !runner.silent);
        }
        loopThread.loop.schedule(SAMPLE_INTERVAL, this::sample);
    }

    private void updateRelays(Pair pair, Links pairLinks, Duration at) {
        LinkCondition condition = troubles.linkCondition(pair.runner, pair.dispatcher, at);
        if (!condition.equals(pairLinks.toRunner.condition())) {
            pairLinks.toRunner.setCondition(condition);
            pairLinks.toDispatcher.setCondition(condition);
        }
    }

    /** Notifies the observer of pairs whose traffic a link or a zone cut begins or ceases to delay. */
    private void notifyDisturbances() {
        for (int runner = 0; runner < day.runnerCount; runner++) {
            for (int dispatcher = 0; dispatcher < day.dispatcherCount; dispatcher++) {
                Pair pair = new Pair(runner, dispatcher);
                Links pairLinks = links.get(pair);
                boolean clear = !isCut(runner, dispatcher)
                        && (pairLinks == null || pairLinks.toRunner.condition().isClear());
                if (clear ? disturbedPairs.remove(pair) : disturbedPairs.add(pair)) {
                    observer.linkChanged(origin.now(), runner, dispatcher, clear);
                }
            }
        }
    }

    private void act(TroubleSchedule.ScheduledAction scheduled) {
        Trouble trouble = scheduled.trouble();
        switch (scheduled.action()) {
            case CUT_ZONE -> {
                cutZone = (int) trouble.size();
                notifyDisturbances();
                runners.forEach(StandInRunner::updateEndpoints);
            }
            case RECONNECT_ZONE -> {
                cutZone = -1;
                notifyDisturbances();
                runners.forEach(StandInRunner::updateEndpoints);
            }
            case SILENCE_LIST -> list.setSilent(true);
            case RESUME_LIST -> list.setSilent(false);
            // Dispatcher actions are handled elsewhere; wire troubles are looked up for each response.
            case KILL_DISPATCHER,
                    RESTART_DISPATCHER,
                    PAUSE_DISPATCHER,
                    RESUME_DISPATCHER,
                    SHUT_DOWN_DISPATCHER,
                    CHANGE_WIRE -> {}
            case CHANGE_LINK -> {
                links.forEach((pair, pairLinks) -> updateRelays(pair, pairLinks, scheduled.at()));
                notifyDisturbances();
                for (int j = 0; j < day.dispatcherCount; j++) {
                    list.linkChanged(j, troubles.listLinkCondition(j, scheduled.at()));
                }
            }
            default -> trouble.runners().forEach(i -> runners.get(i).act(scheduled.action(), scheduled.at()));
        }
    }
}
