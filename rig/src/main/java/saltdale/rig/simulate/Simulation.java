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
import saltdale.rig.judge.Judge;
import saltdale.rig.judge.Terms;
import saltdale.rig.judge.Witness.Final;
import saltdale.rig.judge.Witness.Health;
import saltdale.rig.load.Ask;
import saltdale.rig.load.Persistence;
import saltdale.rig.load.Spread;
import saltdale.rig.load.Tally;
import saltdale.rig.plan.Day;

/**
 * A day in simulated time: clients, dispatchers, the network, the list and the fleet. One thread and one
 * source of chance for each part, so that the same day with the same seed goes the same way to the last byte.
 */
public final class Simulation {
    /** Makes what decides for a dispatcher. */
    public interface Minds {
        SimulatedDispatcher of(DispatcherSettings orders, DispatcherActions door, SplittableRandom chance);
    }

    private static final Duration FRONT_NOTICES = Duration.ofSeconds(1);
    private static final Duration SAMPLE = Duration.ofMillis(250);

    final Day day;
    final Timeline time = new Timeline();
    final Judge judge;
    final TroubleSchedule troubles;
    final Fleet fleet;
    private final Tally tally;
    private final List<Node> nodes = new ArrayList<>();
    private final Persistence persistence;
    private final SplittableRandom net;
    private final Minds minds;
    private final SplittableRandom seeds;
    private final Set<Integer> knownDead = new HashSet<>();
    private int nextNode;
    private int cutZone = -1;
    private boolean listMute;
    private long open;
    private long heavies;
    private long probes;
    private final Spread spread;

    public Simulation(Day day, Minds minds, Iterator<Ask> asks) {
        this.day = day;
        this.minds = minds;
        seeds = new SplittableRandom(day.seed);
        net = seeds.split();
        judge = new Judge(Terms.of(day, Duration.ofMillis(1)), Duration.ofSeconds(5));
        troubles = new TroubleSchedule(day.troubles);
        fleet = new Fleet(this, seeds.split());
        tally = new Tally(day.jobs, day.warmUp);
        persistence = new Persistence(day.traffic, seeds.split());
        spread = new Spread(day.dispatchers);
        for (int i = 0; i < day.dispatchers; i++) {
            Node node = new Node(this, i, seeds.split());
            nodes.add(node);
            time.at(Duration.ZERO, () -> node.start(minds));
        }
        troubles.turns().forEach(turn -> time.at(turn.at(), () -> act(turn)));
        sample();
        feed(asks);
    }

    private void feed(Iterator<Ask> asks) {
        if (asks.hasNext()) {
            Ask ask = asks.next();
            time.at(ask.at(), () -> {
                new Customer(ask).sendTry();
                feed(asks);
            });
        }
    }

    private void sample() {
        fleet.sample();
        if (time.now().compareTo(day.length) < 0) {
            time.after(SAMPLE, this::sample);
        }
    }

    /** Plays the day, and on until all is answered. */
    public Simulation run() {
        time.run(day.length);
        Duration most = day.longestStay().plusSeconds(5);
        for (Duration end = day.length; open > 0 && end.compareTo(day.length.plus(most)) < 0; ) {
            end = end.plusMillis(500);
            time.run(end);
        }
        judge.end();
        return this;
    }

    public Tally tally() {
        return tally;
    }

    public Spread spread() {
        return spread;
    }

    /** How many probes were sent. */
    public long probes() {
        return probes;
    }

    void probed() {
        probes++;
    }

    public Judge judge() {
        return judge;
    }

    public Fleet fleet() {
        return fleet;
    }

    public long events() {
        return time.done();
    }

    /** How long a message takes between these zones, by their numbers. */
    Duration hop(int from, int to) {
        Duration usual = from == to ? day.sameZone : day.crossZone;
        return Duration.ofNanos((long) (usual.toNanos() * (1 + day.netJitter * net.nextDouble())));
    }

    int zoneOf(int number) {
        return number % day.zones.size();
    }

    boolean reachable(int from, int to) {
        return from == to || cutZone != from && cutZone != to;
    }

    // ---- What goes wrong.

    private void act(TroubleSchedule.Turn turn) {
        switch (turn.act()) {
            case CUT -> cutZone = (int) turn.trouble().size();
            case HEAL -> cutZone = -1;
            case MUTE -> listMute = true;
            case UNMUTE -> {
                listMute = false;
                nodes.forEach(Node::listWhole);
            }
            case KILL -> turn.trouble().runners().forEach(i -> nodes.get(i).kill());
            case REVIVE -> turn.trouble().runners().forEach(i -> nodes.get(i).start(minds));
            default -> turn.trouble().runners().forEach(i -> fleet.act(turn.act(), i));
        }
    }

    /** The list has come to know this of a runner, and tells the dispatchers. */
    void listChanged(int runner) {
        if (!listMute) {
            nodes.forEach(node -> node.listChanged(runner));
        }
    }

    Health health(int runner) {
        return fleet.health(runner);
    }

    void front(int node, boolean dead) {
        time.after(FRONT_NOTICES, () -> {
            if (nodes.get(node).isUp() != dead) {
                if (dead) {
                    knownDead.add(node);
                } else {
                    knownDead.remove(node);
                }
            }
        });
    }

    private Node next() {
        if (day.traffic.heavy() > 1
                && knownDead.isEmpty()
                && heavies++ % (nodes.size() - 1 + day.traffic.heavy()) >= nodes.size()) {
            return nodes.get(0);
        }
        for (int i = 0; i < nodes.size(); i++) {
            nextNode = (nextNode + 1) % nodes.size();
            if (!knownDead.contains(nextNode)) {
                break;
            }
        }
        return nodes.get(nextNode);
    }

    // ---- Clients.

    /** The client of one ask, over all its tries. */
    final class Customer {
        final Ask ask;
        private int tries;
        private Try current;
        private boolean finished;

        Customer(Ask ask) {
            this.ask = ask;
            open++;
        }

        void sendTry() {
            if (tries == 0) {
                persistence.firstTry();
            }
            tries++;
            Try next = new Try(this, tries);
            current = next;
            Node node = next();
            Duration hop = hop(0, 0);
            if (tries == 1 && persistence.leaves()) {
                time.after(next.patience().dividedBy(2), () -> {
                    if (current == next && !finished) {
                        judge.left(time.now(), next.id);
                        node.clientGone(next);
                        finish(null, true);
                    }
                });
            }
            time.after(hop, () -> {
                if (!node.isUp()) {
                    answered(next, Outcome.UNREACHABLE, null, null);
                    return;
                }
                judge.asked(time.now(), next.id, ask.job().workload(), node.number, next.patience());
                node.take(next);
                next.node = node.number;
                time.after(
                        next.patience().plus(day.answerGrace).plusMillis(5),
                        () -> answered(next, Outcome.NOTHING, null, null));
            });
        }

        void answered(Try which, Outcome outcome, Duration pause, String result) {
            if (finished || current != which) {
                return;
            }
            current = null;
            if (which.node >= 0) {
                spread.ended(which.node, ask.job().workload().importance, outcome == Outcome.SHED);
            }
            Duration wait = persistence.next(
                    ask.job().workload(),
                    tries,
                    outcome == Outcome.UNREACHABLE ? Final.SHED : outcome.how,
                    pause,
                    time.now(),
                    ask.at());
            if (wait == null) {
                finish(outcome.how, false);
            } else {
                time.after(wait, this::sendTry);
            }
        }

        private void finish(Final how, boolean left) {
            finished = true;
            open--;
            tally.over(ask, how, time.now(), tries, left);
        }
    }

    /** How a try ends for its client. */
    enum Outcome {
        FULFILLED(Final.FULFILLED),
        SHED(Final.SHED),
        GIVEN_UP(Final.GIVEN_UP),
        UNREACHABLE(null),
        NOTHING(null);

        final Final how;

        Outcome(Final how) {
            this.how = how;
        }
    }

    /** One request of a client. */
    static final class Try {
        final Customer customer;
        final String id;
        final int number;
        int node = -1;

        Try(Customer customer, int number) {
            this.customer = customer;
            this.number = number;
            this.id = customer.ask.number() + "." + number;
        }

        Ask ask() {
            return customer.ask;
        }

        String receipt() {
            return "r" + customer.ask.number();
        }

        Duration patience() {
            return customer.ask.job().workload().clientTimeout;
        }
    }
}
