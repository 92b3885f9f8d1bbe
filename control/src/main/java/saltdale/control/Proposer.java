package saltdale.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import saltdale.control.message.BallotMessage.Accept;
import saltdale.control.message.BallotMessage.Accepted;
import saltdale.control.message.BallotMessage.Prepare;
import saltdale.control.message.BallotMessage.Promise;
import saltdale.control.message.BallotMessage.Refusal;
import saltdale.control.message.BallotMessage.Reply;
import saltdale.control.message.BallotMessage.TextNeeded;

/**
 * Runs ballots: each asks a majority for the newest state that any of them accepted, makes the next one of it, and has
 * a majority accept that. There is no standing leader; whoever has a change to make runs a ballot of its own.
 */
final class Proposer {
    /** Makes the next state of the newest one; may refuse, and may find that there is nothing to be done. */
    interface Change {
        ChangeResult apply(ReplicatedState newest, byte[] text);
    }

    /**
     * What a change comes to: the next state (null: stays as it is), with its text where that is new, and the
     * answer.
     */
    record ChangeResult(ReplicatedState next, byte[] text, Object answer) {
        static ChangeResult unchanged(Object answer) {
            return new ChangeResult(null, null, answer);
        }
    }

    /** Told of each state that is chosen for certain. */
    interface ChosenListener {
        void onChosen(Ballot ballot, ReplicatedState state, byte[] text);
    }

    private record Waiting(Change change, long until, Consumer<Object> answer) {}

    private static final long TRY =
            Environment.millisToNanos(400); // for both questions of a ballot, disks and crossings included
    private static final int LONGEST_TRY = 4; // times as long, after tries that no majority answered in time
    /** The least pause after a try that another ballot overtook; doubled with each. */
    private static final long PAUSE = Environment.millisToNanos(12);

    private static final long LONGEST_PAUSE = 32 * PAUSE; // unless the disks are slow

    private final Environment environment;
    private final String life;
    private final Acceptor own;
    private final Function<String, Boolean> isSelf;
    private final ChosenListener chosen;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Waiting current;
    private Round round;
    private long highest;
    private int overtaken;
    private long tryFor = TRY;
    private long phase = PAUSE; // how long voters last took to promise, their disks included
    /** The newest state known to be chosen, from which the voters are known; null where nothing is known yet. */
    private ReplicatedState known;

    private byte[] knownText;
    private boolean knownIsChosen;

    Proposer(
            Environment environment,
            String life,
            Acceptor own,
            Function<String, Boolean> isSelf,
            ChosenListener chosen) {
        this.environment = environment;
        this.life = life;
        this.own = own;
        this.isSelf = isSelf;
        this.chosen = chosen;
    }

    /** {@code certain}: it is chosen; else it may be, and serves only to find voters until something is certain. */
    void learn(ReplicatedState state, byte[] text, boolean certain) {
        if (known == null || certain && !knownIsChosen || certain && state.version() > known.version()) {
            known = state;
            knownText = text;
            knownIsChosen = certain;
        }
    }

    ReplicatedState knownState() {
        return known;
    }

    /** The answer is null where no majority could be had in time: what was asked for may come to be or may not. */
    void propose(Change change, long within, Consumer<Object> answer) {
        waiting.add(new Waiting(change, environment.now() + within, answer));
        next();
    }

    /** The same, ahead of all that waits: a repair must not wait for orders. */
    void proposeWithPriority(Change change, long within, Consumer<Object> answer) {
        waiting.addFirst(new Waiting(change, environment.now() + within, answer));
        next();
    }

    private void next() {
        if (current == null && !waiting.isEmpty()) {
            current = waiting.poll();
            overtaken = 0;
            begin();
        }
    }

    private void begin() {
        if (environment.now() >= current.until || known == null) {
            finish(null);
            return;
        }
        // What was promised here to another would refuse this one at once.
        highest = Math.max(highest, own.promisedBallot().round()) + 1;
        round = new Round(new Ballot(highest, life));
        round.prepare();
    }

    /** Guards against disks so slow that no try is ever long enough. */
    private void late(Round which) {
        tryFor = Math.min(2 * tryFor, LONGEST_TRY * TRY);
        again(which);
    }

    private void again(Round which) {
        if (round != which) {
            return;
        }
        which.over();
        round = null;
        overtaken = Math.min(overtaken + 1, 5);
        // Guards against two that overtake each other for ever.
        long most = Math.min(phase << overtaken, Math.max(LONGEST_PAUSE, 4 * phase));
        // Another try must fit into the time that is left, however slow the voters were of late.
        long left = current.until() - environment.now();
        long pause = Math.min((long) (most * (0.3 + environment.random().nextDouble())), Math.max(PAUSE, left / 3));
        environment.schedule(pause, () -> {
            if (round == null && current != null) {
                begin();
            }
        });
    }

    private void finish(Object answer) {
        Waiting done = current;
        if (round != null) {
            round.over();
            round = null;
        }
        current = null;
        done.answer.accept(answer);
        next();
    }

    /** A voter's reply; those to ballots that are over mean nothing any more. */
    void handleReply(Reply reply) {
        if (reply instanceof Refusal refusal) {
            highest = Math.max(highest, refusal.promised().round());
        }
        if (round != null && round.ballot.equals(reply.ballot())) {
            round.reply(reply);
        }
    }

    /** Takes note of how long voters took; what took longer than any try may was a standstill of our own. */
    private void measurePhase(long took) {
        if (took <= tryFor) {
            phase = Math.max(PAUSE, took);
        }
    }

    private final class Round {
        final Ballot ballot;
        private final Set<String> asked = new HashSet<>();
        private final Map<String, Ballot> promises = new HashMap<>();
        private final Set<String> accepts = new HashSet<>();
        private Ballot newestBallot = Ballot.NONE;
        private ReplicatedState newest = known;
        private byte[] newestText = knownText;
        private final ReplicatedState base = known;
        private final byte[] baseText = knownText;
        private ReplicatedState put;
        private byte[] putText;
        private Object answer;
        private final Runnable limit;
        private final long begunAt = environment.now();

        Round(Ballot ballot) {
            this.ballot = ballot;
            limit = environment.schedule(tryFor, () -> late(this));
        }

        void over() {
            limit.run();
        }

        void prepare() {
            for (List<Voter> set : newest.voterSets()) {
                for (Voter voter : set) {
                    if (round == this && put == null && asked.add(voter.id())) {
                        ask(voter);
                    }
                }
            }
        }

        private void ask(Voter voter) {
            if (isSelf.apply(voter.id())) {
                own.prepare(ballot, base.textKey(), Proposer.this::handleReply);
            } else {
                environment.send(voter.host(), new Prepare(ballot, base.textKey(), voter.id()));
            }
        }

        void reply(Reply reply) {
            if (reply instanceof Refusal) {
                again(this);
            } else if (reply instanceof Promise promise) {
                promised(promise);
            } else if (reply instanceof Accepted accepted) {
                accepts.add(accepted.voter());
                acceptedBy();
            } else if (reply instanceof TextNeeded needed) {
                Voter which = voterOf(needed.voter());
                if (put != null && which != null) {
                    send(which, putText);
                }
            }
        }

        private void promised(Promise promise) {
            Ballot of = promise.accepted();
            if (put != null || promises.put(promise.voter(), of) != null) {
                return;
            }
            if (promise.state() != null && of.compareTo(newestBallot) > 0) {
                newestBallot = of;
                newest = promise.state();
                newestText = newest.textKey().isEmpty() ? null : promise.text() != null ? promise.text() : baseText;
            }
            prepare(); // of voters that only the newest state names
            // Guards against old copies that name voters of their own: what is known to be chosen must be seen as well.
            if (round == this
                    && put == null
                    && majority(promises.keySet(), base)
                    && majority(promises.keySet(), newest)) {
                measurePhase(environment.now() - begunAt);
                put();
            }
        }

        private void put() {
            boolean certain = newest.voterSets().stream()
                    .allMatch(set -> set.stream()
                                    .filter(v -> newestBallot.equals(promises.get(v.id())))
                                    .count()
                            > set.size() / 2);
            ChangeResult step = current.change.apply(newest, newestText);
            answer = step.answer();
            if (step.next() == null && certain) {
                chosen.onChosen(newestBallot, newest, newestText);
                settle(newest);
                finish(answer);
                return;
            }
            put = step.next() == null ? newest : step.next();
            putText = step.next() != null && step.text() != null ? step.text() : newestText;
            for (List<Voter> set : quorumsOfPut()) {
                for (Voter voter : set) {
                    if (round == this && asked.add("put " + voter.id())) {
                        // Who may have the text is not sent it again: it asks where it does not.
                        send(voter, put.textKey().equals(newest.textKey()) ? null : putText);
                    }
                }
            }
        }

        private List<List<Voter>> quorumsOfPut() {
            return put.equals(newest) || put.voterSets().equals(newest.voterSets())
                    ? put.voterSets()
                    : List.of(newest.previousVoters(), newest.voters(), put.voters());
        }

        private Voter voterOf(String id) {
            return quorumsOfPut().stream()
                    .flatMap(List::stream)
                    .filter(v -> v.id().equals(id))
                    .findAny()
                    .orElse(null);
        }

        private void send(Voter voter, byte[] text) {
            if (isSelf.apply(voter.id())) {
                own.accept(ballot, put, putText, Proposer.this::handleReply);
            } else {
                environment.send(voter.host(), new Accept(ballot, put, text, voter.id()));
            }
        }

        private void acceptedBy() {
            for (List<Voter> set : quorumsOfPut()) {
                if (set.stream().filter(v -> accepts.contains(v.id())).count() <= set.size() / 2) {
                    return;
                }
            }
            chosen.onChosen(ballot, put, putText);
            tryFor = Math.max(TRY, tryFor / 2);
            settle(put);
            finish(answer);
        }

        /** Once a joint state is known to be chosen, by majorities of both, the old voters are needed no longer. */
        private void settle(ReplicatedState joint) {
            if (joint.isJoint()) {
                waiting.addFirst(new Waiting(completeVoterChange(joint), environment.now() + 4 * TRY, done -> {}));
            }
        }

        private boolean majority(Set<String> who, ReplicatedState of) {
            return of.voterSets().stream()
                    .allMatch(set ->
                            set.stream().filter(v -> who.contains(v.id())).count() > set.size() / 2);
        }
    }

    /**
     * Ends a change of voters; {@code joint} must be known to be chosen. One that was only accepted here and there may
     * not be ended: a majority of the old voters need not know of it.
     */
    static Change completeVoterChange(ReplicatedState joint) {
        return (newest, text) -> newest.equals(joint)
                ? new ChangeResult(newest.withVoterChangeCompleted(), null, Boolean.TRUE)
                : ChangeResult.unchanged(null);
    }
}
