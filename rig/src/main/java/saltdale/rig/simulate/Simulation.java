package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.rig.fleet.TroubleSchedule;
import saltdale.rig.judge.EventObserver.FinalAnswer;
import saltdale.rig.judge.EventObserver.ListedHealth;
import saltdale.rig.judge.Judge;
import saltdale.rig.judge.JudgeSettings;
import saltdale.rig.load.ClientRequest;
import saltdale.rig.load.ClientRetryPolicy;
import saltdale.rig.load.RequestStatistics;
import saltdale.rig.load.ShedSpread;
import saltdale.rig.plan.Scenario;

/**
 * Simulates a day: clients, dispatchers, the network, the runner list and the fleet. It uses one thread and a random
 * generator per part, so that the same day with the same seed gives exactly the same results.
 */
public final class Simulation {
    /** Creates the decision logic of a dispatcher. */
    public interface DispatcherFactory {
        SimulatedDispatcher create(DispatcherSettings settings, DispatcherActions actions, SplittableRandom random);
    }

    /** How long the front end takes to notice that a dispatcher went down or came back. */
    private static final Duration FRONT_END_DETECTION_DELAY = Duration.ofSeconds(1);

    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);

    final Scenario day;
    final EventQueue eventQueue = new EventQueue();
    final Judge judge;
    final TroubleSchedule troubleSchedule;
    final SimulatedFleet fleet;
    private final RequestStatistics tally;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final ClientRetryPolicy persistence;
    private final SplittableRandom networkRandom;
    private final DispatcherFactory dispatcherFactory;
    private final SplittableRandom random;
    private final Set<Integer> detectedDownNodes = new HashSet<>();
    private int lastNodeIndex;
    private int disconnectedZone = -1;
    private boolean listSilent;
    private long openRequests;
    private long weightedTurns;
    private long probeCount;
    private final ShedSpread spread;

    public Simulation(Scenario day, DispatcherFactory dispatcherFactory, Iterator<ClientRequest> arrivals) {
        this.day = day;
        this.dispatcherFactory = dispatcherFactory;
        random = new SplittableRandom(day.seed);
        networkRandom = random.split();
        judge = new Judge(JudgeSettings.of(day, Duration.ofMillis(1)), Duration.ofSeconds(5));
        troubleSchedule = new TroubleSchedule(day.troubles);
        fleet = new SimulatedFleet(this, random.split());
        tally = new RequestStatistics(day.workloads, day.warmUp);
        persistence = new ClientRetryPolicy(day.traffic, random.split());
        spread = new ShedSpread(day.dispatcherCount);
        for (int i = 0; i < day.dispatcherCount; i++) {
            SimulatedNode node = new SimulatedNode(this, i, random.split());
            nodes.add(node);
            eventQueue.scheduleAt(Duration.ZERO, () -> node.start(dispatcherFactory));
        }
        troubleSchedule
                .scheduledActions()
                .forEach(scheduled -> eventQueue.scheduleAt(scheduled.at(), () -> apply(scheduled)));
        sample();
        scheduleNextArrival(arrivals);
    }

    private void scheduleNextArrival(Iterator<ClientRequest> arrivals) {
        if (arrivals.hasNext()) {
            ClientRequest arrival = arrivals.next();
            eventQueue.scheduleAt(arrival.intendedAt(), () -> {
                new SimulatedClient(arrival).sendTry();
                scheduleNextArrival(arrivals);
            });
        }
    }

    private void sample() {
        fleet.sample();
        if (eventQueue.now().compareTo(day.length) < 0) {
            eventQueue.scheduleAfter(SAMPLE_INTERVAL, this::sample);
        }
    }

    /** Runs the day, and then on until every request has an answer or the time limit for that is reached. */
    public Simulation run() {
        eventQueue.runUntil(day.length);
        Duration maxDrainTime = day.maxClientTime().plusSeconds(5);
        for (Duration end = day.length; openRequests > 0 && end.compareTo(day.length.plus(maxDrainTime)) < 0; ) {
            end = end.plusMillis(500);
            eventQueue.runUntil(end);
        }
        judge.finish();
        return this;
    }

    /** The results as seen by the clients. */
    public RequestStatistics tally() {
        return tally;
    }

    /** The shares of rejected requests by dispatcher. */
    public ShedSpread spread() {
        return spread;
    }

    /** The number of probes sent by all dispatchers. */
    public long probeCount() {
        return probeCount;
    }

    void countProbe() {
        probeCount++;
    }

    /** The judge that observes this simulation. */
    public Judge judge() {
        return judge;
    }

    /** The simulated runners. */
    public SimulatedFleet fleet() {
        return fleet;
    }

    /** The number of simulated events. */
    public long executedEventCount() {
        return eventQueue.executedCount();
    }

    /** A random latency of a message between these zones, given by number. */
    Duration latency(int from, int to) {
        Duration baseLatency = from == to ? day.sameZoneLatency : day.crossZoneLatency;
        return Duration.ofNanos((long) (baseLatency.toNanos() * (1 + day.networkJitter * networkRandom.nextDouble())));
    }

    int zoneOf(int number) {
        return number % day.zones.size();
    }

    boolean areConnected(int from, int to) {
        return from == to || disconnectedZone != from && disconnectedZone != to;
    }

    // ---- Disturbances.

    private void apply(TroubleSchedule.ScheduledAction scheduled) {
        switch (scheduled.action()) {
            case CUT_ZONE -> disconnectedZone = (int) scheduled.trouble().size();
            case RECONNECT_ZONE -> disconnectedZone = -1;
            case SILENCE_LIST -> listSilent = true;
            case RESUME_LIST -> {
                listSilent = false;
                nodes.forEach(SimulatedNode::sendFullList);
            }
            case KILL_DISPATCHER ->
                scheduled.trouble().runners().forEach(i -> nodes.get(i).kill());
            case RESTART_DISPATCHER ->
                scheduled.trouble().runners().forEach(i -> nodes.get(i).start(dispatcherFactory));
            default -> scheduled.trouble().runners().forEach(i -> fleet.apply(scheduled.action(), i));
        }
    }

    /** Sends the changed list entry of a runner to the dispatchers. */
    void publishListChange(int runner) {
        if (!listSilent) {
            nodes.forEach(node -> node.sendListUpdate(runner));
        }
    }

    ListedHealth health(int runner) {
        return fleet.health(runner);
    }

    /** Lets the front end notice a state change of a dispatcher after its delay, if the state still holds. */
    void reportNodeState(int node, boolean down) {
        eventQueue.scheduleAfter(FRONT_END_DETECTION_DELAY, () -> {
            if (nodes.get(node).isUp() != down) {
                if (down) {
                    detectedDownNodes.add(node);
                } else {
                    detectedDownNodes.remove(node);
                }
            }
        });
    }

    /** Selects dispatchers in turn; the first gets a multiple of the others' requests if the traffic says so. */
    private SimulatedNode selectNode() {
        if (day.traffic.firstDispatcherWeight() > 1
                && detectedDownNodes.isEmpty()
                && weightedTurns++ % (nodes.size() - 1 + day.traffic.firstDispatcherWeight()) >= nodes.size()) {
            return nodes.get(0);
        }
        for (int i = 0; i < nodes.size(); i++) {
            lastNodeIndex = (lastNodeIndex + 1) % nodes.size();
            if (!detectedDownNodes.contains(lastNodeIndex)) {
                break;
            }
        }
        return nodes.get(lastNodeIndex);
    }

    // ---- Clients.

    /** The client of one arrival, over all its tries. */
    final class SimulatedClient {
        final ClientRequest arrival;
        private int tryCount;
        private ClientTry currentTry;
        private boolean finished;

        SimulatedClient(ClientRequest arrival) {
            this.arrival = arrival;
            openRequests++;
        }

        void sendTry() {
            if (tryCount == 0) {
                persistence.recordFirstTry();
            }
            tryCount++;
            ClientTry clientTry = new ClientTry(this, tryCount);
            currentTry = clientTry;
            SimulatedNode node = selectNode();
            Duration latency = latency(0, 0);
            if (tryCount == 1 && persistence.abandons()) {
                eventQueue.scheduleAfter(clientTry.clientTimeout().dividedBy(2), () -> {
                    if (currentTry == clientTry && !finished) {
                        judge.clientLeft(eventQueue.now(), clientTry.id);
                        node.onClientLeft(clientTry);
                        finish(null, true);
                    }
                });
            }
            eventQueue.scheduleAfter(latency, () -> {
                if (!node.isUp()) {
                    onTryEnd(clientTry, TryOutcome.UNREACHABLE, null, null);
                    return;
                }
                judge.requestSent(
                        eventQueue.now(),
                        clientTry.id,
                        arrival.plannedWorkload().workload(),
                        node.number,
                        clientTry.clientTimeout());
                node.receive(clientTry);
                clientTry.dispatcher = node.number;
                eventQueue.scheduleAfter(
                        clientTry.clientTimeout().plus(day.answerGrace).plusMillis(5),
                        () -> onTryEnd(clientTry, TryOutcome.NOTHING, null, null));
            });
        }

        void onTryEnd(ClientTry ended, TryOutcome outcome, Duration retryAfter, String result) {
            if (finished || currentTry != ended) {
                return;
            }
            currentTry = null;
            if (ended.dispatcher >= 0) {
                spread.recordTry(
                        ended.dispatcher, arrival.plannedWorkload().workload().importance, outcome == TryOutcome.SHED);
            }
            Duration wait = persistence.nextDelay(
                    arrival.plannedWorkload().workload(),
                    tryCount,
                    outcome == TryOutcome.UNREACHABLE ? FinalAnswer.SHED : outcome.finalAnswer,
                    retryAfter,
                    eventQueue.now(),
                    arrival.intendedAt());
            if (wait == null) {
                finish(outcome.finalAnswer, false);
            } else {
                eventQueue.scheduleAfter(wait, this::sendTry);
            }
        }

        private void finish(FinalAnswer finalAnswer, boolean left) {
            finished = true;
            openRequests--;
            tally.record(arrival, finalAnswer, eventQueue.now(), tryCount, left);
        }
    }

    /** How a try ended for its client. */
    enum TryOutcome {
        FULFILLED(FinalAnswer.FULFILLED),
        SHED(FinalAnswer.SHED),
        GIVEN_UP(FinalAnswer.GIVEN_UP),
        UNREACHABLE(null),
        NOTHING(null);

        final FinalAnswer finalAnswer;

        TryOutcome(FinalAnswer finalAnswer) {
            this.finalAnswer = finalAnswer;
        }
    }

    /** One try of a client: a request with an id of its own. */
    static final class ClientTry {
        final SimulatedClient client;
        final String id;
        final int number;
        int dispatcher = -1;

        ClientTry(SimulatedClient client, int number) {
            this.client = client;
            this.number = number;
            this.id = client.arrival.number() + "." + number;
        }

        ClientRequest arrival() {
            return client.arrival;
        }

        String receipt() {
            return "r" + client.arrival.number();
        }

        Duration clientTimeout() {
            return client.arrival.plannedWorkload().workload().clientTimeout;
        }
    }
}
