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
 * Runs the ballots of the consensus protocol. Each ballot asks a majority for the newest state that any of them has
 * accepted, derives the next state from it, and has a majority accept the result. There is no standing leader: every
 * control node that has a change to make runs a ballot of its own.
 */
final class Proposer {
    /** Derives the next state from the newest one; may reject the change, or find that there is nothing to do. */
    interface Change {
        ChangeResult apply(ReplicatedState newest, byte[] text);
    }

    /**
     * The result of a change: the next state ({@code null} if the state stays as it is), its configuration text if that
     * is new, and the answer for the caller.
     */
    record ChangeResult(ReplicatedState next, byte[] text, Object answer) {
        /** Leaves the state as it is. */
        static ChangeResult unchanged(Object answer) {
            return new ChangeResult(null, null, answer);
        }
    }

    /** Called with each state that is known for certain to be chosen. */
    interface ChosenListener {
        void onChosen(Ballot ballot, ReplicatedState state, byte[] text);
    }

    private record QueuedChange(Change change, long deadline, Consumer<Object> onResult) {}

    /** Time limit for both phases of a ballot, including disk writes and network latency. */
    private static final long BALLOT_TIMEOUT_NANOS = Environment.millisToNanos(400);
    /** Upper limit of the timeout, as a multiple of the usual one, after ballots that no majority answered in time. */
    private static final int MAX_BALLOT_TIMEOUT_FACTOR = 4;
    /** The shortest delay before the retry of a ballot that was preempted by another; doubled with each preemption. */
    private static final long MIN_RETRY_DELAY_NANOS = Environment.millisToNanos(12);

    /** The longest retry delay, unless slow disks call for a longer one. */
    private static final long MAX_RETRY_DELAY_NANOS = 32 * MIN_RETRY_DELAY_NANOS;

    private final Environment environment;
    private final String incarnation;
    private final Acceptor localAcceptor;
    private final Function<String, Boolean> isLocalVoter;
    private final ChosenListener chosenListener;
    private final Deque<QueuedChange> queue = new ArrayDeque<>();
    private QueuedChange current;
    private BallotRun activeRun;
    private long highestRound;
    private int preemptions;
    private long ballotTimeoutNanos = BALLOT_TIMEOUT_NANOS;
    /** How long the voters last took to promise, including their disk writes. */
    private long prepareNanos = MIN_RETRY_DELAY_NANOS;
    /** The newest state known to be chosen, which names the voters; {@code null} while nothing is known. */
    private ReplicatedState knownState;

    private byte[] knownText;
    private boolean knownIsChosen;

    Proposer(
            Environment environment,
            String incarnation,
            Acceptor localAcceptor,
            Function<String, Boolean> isLocalVoter,
            ChosenListener chosenListener) {
        this.environment = environment;
        this.incarnation = incarnation;
        this.localAcceptor = localAcceptor;
        this.isLocalVoter = isLocalVoter;
        this.chosenListener = chosenListener;
    }

    /**
     * Records a known state. If {@code isChosen} is false, the state may or may not be chosen, and serves only to find
     * the voters until a chosen state is known.
     */
    void learn(ReplicatedState state, byte[] text, boolean isChosen) {
        if (knownState == null || isChosen && !knownIsChosen || isChosen && state.version() > knownState.version()) {
            knownState = state;
            knownText = text;
            knownIsChosen = isChosen;
        }
    }

    /** The state known to be chosen, or one that may be chosen while none is; {@code null} if there is neither. */
    ReplicatedState knownState() {
        return knownState;
    }

    /**
     * Queues a change. The result is {@code null} if no majority could be reached in time, or if the change could not
     * be computed; the change may then take effect later, or not at all.
     */
    void propose(Change change, long timeoutNanos, Consumer<Object> onResult) {
        queue.add(new QueuedChange(change, environment.now() + timeoutNanos, onResult));
        startNext();
    }

    /** Queues a change ahead of all waiting ones: a repair must not wait for operators' updates. */
    void proposeWithPriority(Change change, long timeoutNanos, Consumer<Object> onResult) {
        queue.addFirst(new QueuedChange(change, environment.now() + timeoutNanos, onResult));
        startNext();
    }

    private void startNext() {
        if (current == null && !queue.isEmpty()) {
            current = queue.poll();
            preemptions = 0;
            startBallot();
        }
    }

    private void startBallot() {
        if (environment.now() >= current.deadline || knownState == null) {
            finish(null);
            return;
        }
        // The local acceptor would reject a ballot below the one that it promised to another proposer.
        highestRound = Math.max(highestRound, localAcceptor.promisedBallot().round()) + 1;
        activeRun = new BallotRun(new Ballot(highestRound, incarnation));
        activeRun.prepare();
    }

    /** Lengthens the timeout, since with very slow disks the usual one would never be long enough. */
    private void onTimeout(BallotRun run) {
        ballotTimeoutNanos = Math.min(2 * ballotTimeoutNanos, MAX_BALLOT_TIMEOUT_FACTOR * BALLOT_TIMEOUT_NANOS);
        retry(run);
    }

    private void retry(BallotRun run) {
        if (activeRun != run) {
            return;
        }
        run.cancelTimeout();
        activeRun = null;
        preemptions = Math.min(preemptions + 1, 5);
        // Randomized backoff keeps two proposers from preempting each other forever.
        long maxDelay = Math.min(prepareNanos << preemptions, Math.max(MAX_RETRY_DELAY_NANOS, 4 * prepareNanos));
        // Leave time for another ballot before the deadline, however slow the voters were recently.
        long remaining = current.deadline() - environment.now();
        long delay = Math.min(
                (long) (maxDelay * (0.3 + environment.random().nextDouble())),
                Math.max(MIN_RETRY_DELAY_NANOS, remaining / 3));
        environment.schedule(delay, () -> {
            if (activeRun == null && current != null) {
                startBallot();
            }
        });
    }

    private void finish(Object answer) {
        QueuedChange finished = current;
        if (activeRun != null) {
            activeRun.cancelTimeout();
            activeRun = null;
        }
        current = null;
        finished.onResult.accept(answer);
        startNext();
    }

    /** Handles a voter's reply; replies to ballots that have ended are ignored. */
    void handleReply(Reply reply) {
        if (reply instanceof Refusal refusal) {
            highestRound = Math.max(highestRound, refusal.promised().round());
        }
        if (activeRun != null && activeRun.ballot.equals(reply.ballot())) {
            activeRun.handleReply(reply);
        }
    }

    /**
     * Records how long the voters took to promise; a duration above the ballot timeout comes from a pause of this
     * process and is ignored.
     */
    private void recordPrepareDuration(long durationNanos) {
        if (durationNanos <= ballotTimeoutNanos) {
            prepareNanos = Math.max(MIN_RETRY_DELAY_NANOS, durationNanos);
        }
    }

    /** One ballot of this proposer, from its prepare requests to the end of its accept phase. */
    private final class BallotRun {
        final Ballot ballot;
        private final Set<String> contacted = new HashSet<>();
        private final Map<String, Ballot> promises = new HashMap<>();
        private final Set<String> acceptedVoters = new HashSet<>();
        private Ballot newestBallot = Ballot.NONE;
        private ReplicatedState newestState = knownState;
        private byte[] newestText = knownText;
        private final ReplicatedState baseState = knownState;
        private final byte[] baseText = knownText;
        private ReplicatedState proposedState;
        private byte[] proposedText;
        private Object answer;
        private final Runnable timeout;
        private final long startedAt = environment.now();

        BallotRun(Ballot ballot) {
            this.ballot = ballot;
            timeout = environment.schedule(ballotTimeoutNanos, () -> onTimeout(this));
        }

        void cancelTimeout() {
            timeout.run();
        }

        void prepare() {
            for (List<Voter> set : newestState.voterSets()) {
                for (Voter voter : set) {
                    if (activeRun == this && proposedState == null && contacted.add(voter.id())) {
                        sendPrepare(voter);
                    }
                }
            }
        }

        private void sendPrepare(Voter voter) {
            if (isLocalVoter.apply(voter.id())) {
                localAcceptor.prepare(ballot, baseState.textKey(), Proposer.this::handleReply);
            } else {
                environment.send(voter.host(), new Prepare(ballot, baseState.textKey(), voter.id()));
            }
        }

        void handleReply(Reply reply) {
            if (reply instanceof Refusal) {
                retry(this);
            } else if (reply instanceof Promise promise) {
                onPromise(promise);
            } else if (reply instanceof Accepted accepted) {
                acceptedVoters.add(accepted.voter());
                finishIfAccepted();
            } else if (reply instanceof TextNeeded textNeeded) {
                Voter voter = acceptVoter(textNeeded.voter());
                if (proposedState != null && voter != null) {
                    sendAccept(voter, proposedText);
                }
            }
        }

        private void onPromise(Promise promise) {
            Ballot acceptedBallot = promise.accepted();
            if (proposedState != null || promises.put(promise.voter(), acceptedBallot) != null) {
                return;
            }
            if (promise.state() != null && acceptedBallot.compareTo(newestBallot) > 0) {
                newestBallot = acceptedBallot;
                newestState = promise.state();
                newestText =
                        newestState.textKey().isEmpty() ? null : promise.text() != null ? promise.text() : baseText;
            }
            prepare(); // also asks the voters that only the newest state names
            // Old copies of the state may name other voters, so a majority of the voters of the state known to be
            // chosen must have answered as well.
            if (activeRun == this
                    && proposedState == null
                    && hasMajority(promises.keySet(), baseState)
                    && hasMajority(promises.keySet(), newestState)) {
                recordPrepareDuration(environment.now() - startedAt);
                startAcceptPhase();
            }
        }

        private void startAcceptPhase() {
            boolean isChosen = newestState.voterSets().stream()
                    .allMatch(set -> set.stream()
                                    .filter(v -> newestBallot.equals(promises.get(v.id())))
                                    .count()
                            > set.size() / 2);
            ChangeResult result;
            try {
                result = current.change.apply(newestState, newestText);
            } catch (RuntimeException e) {
                // A change that cannot be computed must not hold up those that wait behind it.
                environment.check(Invariant.CHANGE_COMPUTED, false, () -> Environment.describe(e));
                finish(null);
                return;
            }
            answer = result.answer();
            if (result.next() == null && isChosen) {
                chosenListener.onChosen(newestBallot, newestState, newestText);
                completeIfJoint(newestState);
                finish(answer);
                return;
            }
            proposedState = result.next() == null ? newestState : result.next();
            proposedText = result.next() != null && result.text() != null ? result.text() : newestText;
            for (List<Voter> set : acceptVoterSets()) {
                for (Voter voter : set) {
                    if (activeRun == this && contacted.add("accept " + voter.id())) {
                        // A voter that may already have the text is not sent it again; it requests the text if it
                        // is missing.
                        sendAccept(voter, proposedState.textKey().equals(newestState.textKey()) ? null : proposedText);
                    }
                }
            }
        }

        private List<List<Voter>> acceptVoterSets() {
            return proposedState.equals(newestState)
                            || proposedState.voterSets().equals(newestState.voterSets())
                    ? proposedState.voterSets()
                    : List.of(newestState.previousVoters(), newestState.voters(), proposedState.voters());
        }

        private Voter acceptVoter(String id) {
            return acceptVoterSets().stream()
                    .flatMap(List::stream)
                    .filter(v -> v.id().equals(id))
                    .findAny()
                    .orElse(null);
        }

        private void sendAccept(Voter voter, byte[] text) {
            if (isLocalVoter.apply(voter.id())) {
                localAcceptor.accept(ballot, proposedState, proposedText, Proposer.this::handleReply);
            } else {
                environment.send(voter.host(), new Accept(ballot, proposedState, text, voter.id()));
            }
        }

        private void finishIfAccepted() {
            for (List<Voter> set : acceptVoterSets()) {
                if (set.stream().filter(v -> acceptedVoters.contains(v.id())).count() <= set.size() / 2) {
                    return;
                }
            }
            chosenListener.onChosen(ballot, proposedState, proposedText);
            ballotTimeoutNanos = Math.max(BALLOT_TIMEOUT_NANOS, ballotTimeoutNanos / 2);
            completeIfJoint(proposedState);
            finish(answer);
        }

        /**
         * Once a joint state is known to be chosen, by majorities of both voter sets, the previous voters are
         * no longer needed.
         */
        private void completeIfJoint(ReplicatedState state) {
            if (state.isJoint()) {
                queue.addFirst(new QueuedChange(
                        completeVoterChange(state), environment.now() + 4 * BALLOT_TIMEOUT_NANOS, result -> {}));
            }
        }

        private boolean hasMajority(Set<String> voterIds, ReplicatedState state) {
            return state.voterSets().stream()
                    .allMatch(set ->
                            set.stream().filter(v -> voterIds.contains(v.id())).count() > set.size() / 2);
        }
    }

    /**
     * Completes a change of voters. {@code joint} must be known to be chosen: a joint state that was only accepted by
     * some voters must not be completed, since a majority of the previous voters need not know of it.
     */
    static Change completeVoterChange(ReplicatedState joint) {
        return (newest, text) -> newest.equals(joint)
                ? new ChangeResult(newest.withVoterChangeCompleted(), null, Boolean.TRUE)
                : ChangeResult.unchanged(null);
    }
}
