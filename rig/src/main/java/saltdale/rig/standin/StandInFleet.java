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

/** The runners of a day on sockets, by the platform's protocol; each is a model with a loop for its clock. */
public final class StandInFleet {
    /** The header in which the load tells a runner how much work a job is, in microseconds. */
    public static final String WORK_HEADER = "Rig-Work-Us";

    private static final Duration SAMPLE = Duration.ofMillis(250);

    private record Pair(int runner, int dispatcher) {}

    /** Their way for the dispatcher's connections, that for the runner's, and who calls on the latter. */
    private record Links(LinkRelay there, LinkRelay back, ConnectionPool calls) {}

    final LoopThread loopThread;
    final Scenario day;
    final LoopbackAddresses places;
    final Origin origin;
    final EventObserver witness;
    final RunnerStateListener list;
    final TroubleSchedule troubles;
    final RunnerLoadHistory watch;
    private final SplittableRandom chance;
    final Map<String, Workload> workloads = new HashMap<>();
    private final List<StandInRunner> runners = new ArrayList<>();
    private final List<ConnectionPool> callBacks = new ArrayList<>();
    private final Map<Pair, Links> links = new LinkedHashMap<>();
    private final Set<Pair> disturbed = new HashSet<>();
    Duration start = Duration.ZERO;
    private int cutZone = -1;
    long newsLost;
    long requests;

    public StandInFleet(
            LoopThread loopThread,
            Scenario day,
            LoopbackAddresses places,
            Origin origin,
            EventObserver witness,
            RunnerStateListener list,
            long seed)
            throws IOException {
        this.loopThread = loopThread;
        this.day = day;
        this.places = places;
        this.origin = origin;
        this.witness = witness;
        this.list = list;
        this.troubles = new TroubleSchedule(day.troubles);
        this.watch = new RunnerLoadHistory(day.runnerCount);
        this.chance = new SplittableRandom(seed);
        for (PlannedWorkload job : day.workloads) {
            workloads.put(job.name(), job.workload());
        }
        for (int j = 0; j < day.dispatcherCount; j++) {
            callBacks.add(pool(places.dispatcher(j)));
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
                                            loopThread, places.runner(i, j), places.behind(i, j), true, chance.split()),
                                    new LinkRelay(
                                            loopThread, places.back(i, j), places.dispatcher(j), false, chance.split()),
                                    pool(places.back(i, j))));
                }
            }
        }
        List<ReceiptStore.ByScope> receipts = ReceiptStore.of(day);
        for (int i = 0; i < day.runnerCount; i++) {
            runners.add(new StandInRunner(this, i, receipts.get(i), chance.split()));
        }
    }

    private ConnectionPool pool(InetSocketAddress at) {
        return new ConnectionPool(loopThread.loop, loopThread.sockets, at, JobReportCall.LIMIT, Duration.ofSeconds(2));
    }

    /** Where a runner itself listens for a dispatcher: behind their way, if something befalls that. */
    InetSocketAddress endpointAt(int runner, int dispatcher) {
        return links.containsKey(new Pair(runner, dispatcher))
                ? places.behind(runner, dispatcher)
                : places.runner(runner, dispatcher);
    }

    /** The connections by which a runner calls a dispatcher back. */
    ConnectionPool callBack(int runner, int dispatcher) {
        Links own = links.get(new Pair(runner, dispatcher));
        return own == null ? callBacks.get(dispatcher) : own.calls;
    }

    /** Whether their zones are cut off from each other. */
    boolean isCut(int runner, int dispatcher) {
        int here = runner % day.zones.size();
        int there = dispatcher % day.zones.size();
        return here != there && (cutZone == here || cutZone == there);
    }

    /** The day began at this time: its troubles come by it. */
    public void begin(Duration at) {
        start = at;
        for (TroubleSchedule.ScheduledAction turn : troubles.scheduledActions()) {
            loopThread.loop.schedule(turn.at().plus(start).minus(origin.now()), () -> act(turn));
        }
        sample();
    }

    /** How many calls to dispatchers were never answered, of all tries of each. */
    public long newsLost() {
        return newsLost;
    }

    /** How many requests the runners were sent, of all kinds. */
    public long requests() {
        return requests;
    }

    public RunnerLoadHistory watch() {
        return watch;
    }

    private void sample() {
        for (StandInRunner runner : runners) {
            runner.model.advance(origin.now());
            watch.sample(origin.now(), runner.number, runner.model.heldCount(), runner.model.isUp() && !runner.silent);
        }
        loopThread.loop.schedule(SAMPLE, this::sample);
    }

    private void passes(Pair pair, Links own, Duration at) {
        LinkCondition next = troubles.linkCondition(pair.runner, pair.dispatcher, at);
        if (!next.equals(own.there.condition())) {
            own.there.setCondition(next);
            own.back.setCondition(next);
        }
    }

    /** Tells the witness between whom bytes may be held up from now on, by a link or cut zones, and where no longer. */
    private void tellDisturbed() {
        for (int runner = 0; runner < day.runnerCount; runner++) {
            for (int dispatcher = 0; dispatcher < day.dispatcherCount; dispatcher++) {
                Pair pair = new Pair(runner, dispatcher);
                Links own = links.get(pair);
                boolean free = !isCut(runner, dispatcher)
                        && (own == null || own.there.condition().isClear());
                if (free ? disturbed.remove(pair) : disturbed.add(pair)) {
                    witness.linkChanged(origin.now(), runner, dispatcher, free);
                }
            }
        }
    }

    private void act(TroubleSchedule.ScheduledAction turn) {
        Trouble trouble = turn.trouble();
        switch (turn.action()) {
            case CUT_ZONE -> {
                cutZone = (int) trouble.size();
                tellDisturbed();
                runners.forEach(StandInRunner::endpoints);
            }
            case RECONNECT_ZONE -> {
                cutZone = -1;
                tellDisturbed();
                runners.forEach(StandInRunner::endpoints);
            }
            case SILENCE_LIST -> list.setSilent(true);
            case RESUME_LIST -> list.setSilent(false);
            // the dispatchers' own; what is on the wire is looked up at each answer
            case KILL_DISPATCHER,
                    RESTART_DISPATCHER,
                    PAUSE_DISPATCHER,
                    RESUME_DISPATCHER,
                    SHUT_DOWN_DISPATCHER,
                    CHANGE_WIRE -> {}
            case CHANGE_LINK -> {
                links.forEach((pair, own) -> passes(pair, own, turn.at()));
                tellDisturbed();
                for (int j = 0; j < day.dispatcherCount; j++) {
                    list.linkChanged(j, troubles.listLinkCondition(j, turn.at()));
                }
            }
            default -> trouble.runners().forEach(i -> runners.get(i).act(turn.action(), turn.at()));
        }
    }
}
