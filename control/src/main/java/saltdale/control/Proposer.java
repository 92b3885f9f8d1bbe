package saltdale.control;

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
 * Runs the ballots of the consensus protocol, one at a time. Each ballot asks a majority for the newest state that any
 * of them has accepted, derives the next state from it, and has a majority accept the result. There is no standing
 * leader: every control node that has a change to make runs a ballot of its own.
 *
 * <p>The state that a ballot finds or makes is also the result of all reads that waited here when the ballot began (a
 * batched read index): whatever was acknowledged before that is part of it.
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
    private final ProposalQueue queue;
    private ProposalQueue.QueuedChange current; // null if ballots are run for reads only, or none are
    private boolean busy; // ballots are run, or a retry is due
    private boolean starting;
    private BallotRun activeRun;
    private long highestRound;
    /** Of ballots since the last one that succeeded: other proposers do not give way when this one's change expires. */
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
            ProposalQueue.Factory queueFactory,
            ChosenListener chosenListener) {
        this.environment = environment;
        this.incarnation = incarnation;
        this.localAcceptor = localAcceptor;
        this.isLocalVoter = isLocalVoter;
        this.chosenListener = chosenListener;
        queue = queueFactory.create(environment, this::onCurrentExpired);
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
     * Queues an operator's change, which holds this number of bytes. The result is {@code null} if no majority could be
     * reached in time, or if the change could not be computed; the change may then take effect later, or not at all.
     * Returns false, and does nothing, if too much waits already.
     */
    boolean propose(Change change, int bytes, long timeoutNanos, Consumer<Object> onResult) {
        boolean accepted = queue.offerChange(change, bytes, timeoutNanos, onResult);
        startNext();
        return accepted;
    }

    /** Queues a change of this node ahead of all waiting ones; there is always room for it. */
    void proposeOwnChange(Change change, long timeoutNanos, Consumer<Object> onResult) {
        queue.addOwnChange(change, timeoutNanos, onResult);
        startNext();
    }

    /**
     * Reads the newest state. The result is {@code null} if no majority could be reached in time. Returns false, and
     * does nothing, if too many reads wait already.
     */
    boolean read(long timeoutNanos, Consumer<ProposalQueue.ReadResult> onResult) {
        boolean accepted = queue.offerRead(timeoutNanos, onResult);
        startNext();
        return accepted;
    }

    /** Starts ballots for what waits. A loop, since a change may end at once, and so may any number of them. */
    private void startNext() {
        if (starting) {
            return;
        }
        starting = true;
        try {
            joinReads();
            while (!busy && queue.isWaiting()) {
                busy = true;
                startBallot();
            }
        } finally {
            starting = false;
        }
    }

    /**
     * Makes a change part of a ballot that is run, or is to be retried, for reads only: it need not wait for them. What
     * it may be told by that ballot is limited, see {@link BallotRun#isChangeNewerThanBallot}.
     */
    private void joinReads() {
        if (busy && current == null && queue.hasChange()) {
            if (activeRun == null) {
                startBallot();
            } else if (activeRun.isPreparing()) {
                current = queue.pollChange();
            }
        }
    }

    private void startBallot() {
        if (current == null) {
            current = queue.pollChange();
        }
        if (knownState == null) {
            queue.answerReads(queue.newestRead(), null);
        }
        boolean isNeeded = current == null ? queue.hasRead() : !current.isExpired();
        if (knownState == null || !isNeeded) {
            finish(null);
            return;
        }
        // The local acceptor would reject a ballot below the one that it promised to another proposer.
        highestRound = Math.max(highestRound, localAcceptor.promisedBallot().round()) + 1;
        environment.counters().increment(Counter.BALLOTS);
        activeRun = new BallotRun(new Ballot(highestRound, incarnation));
        activeRun.prepare();
    }

    /** Ends a change whose time limit has passed, unless a ballot that may still decide it is being run. */
    private void onCurrentExpired(ProposalQueue.QueuedChange expired) {
        if (expired == current && activeRun == null) {
            finish(null);
        }
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
        if (current != null && current.isExpired()) {
            finish(null);
            return;
        }
        preemptions = Math.min(preemptions + 1, 5);
        // Randomized backoff keeps two proposers from preempting each other forever.
        long maxDelay = Math.min(prepareNanos << preemptions, Math.max(MAX_RETRY_DELAY_NANOS, 4 * prepareNanos));
        // Leave time for another ballot before the deadline, however slow the voters were recently.
        long deadline = current != null ? current.deadline() : queue.firstReadDeadline();
        long remaining = deadline - environment.now();
        long delay = Math.min(
                (long) (maxDelay * (0.3 + environment.random().nextDouble())), Math.max(prepareNanos, remaining / 3));
        environment.schedule(delay, () -> {
            if (activeRun == null && busy) {
                startBallot();
            }
        });
    }

    /** Ends the ballots for the current change, and starts those for what waits. */
    private void finish(Object answer) {
        ProposalQueue.QueuedChange finished = current;
        if (activeRun != null) {
            activeRun.cancelTimeout();
            activeRun = null;
        }
        current = null;
        busy = false;
        if (finished != null) {
            finished.complete(answer);
        }
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
        private final long newestRead = queue.newestRead();
        private final long newestChange = queue.newestChange();
        private boolean preparing = true;

        BallotRun(Ballot ballot) {
            this.ballot = ballot;
            timeout = environment.schedule(ballotTimeoutNanos, () -> onTimeout(this));
        }

        void cancelTimeout() {
            timeout.run();
        }

        /** Whether the change that this ballot is for has not been applied to the newest state yet. */
        boolean isPreparing() {
            return preparing;
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
            preparing = false;
            ChangeResult result = computeResult();
            if (result == null) {
                finish(null);
                return;
            }
            answer = result.answer();
            if (isChangeNewerThanBallot() && (result.next() == null || isPreempted())) {
                runAnotherBallot(isChosen);
                return;
            } else if (result.next() == null && isChosen) {
                finishAsChosen(newestBallot, newestState, newestText);
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

        /**
         * Returns whether the change joined this ballot after it had begun. The promises may then be older than states
         * that were chosen before the change arrived, so that they cannot show that there is nothing to do for it. A
         * state that it makes is safe: those that have promised a later ballot do not accept it.
         */
        private boolean isChangeNewerThanBallot() {
            return current != null && current.number() > newestChange;
        }

        /** Returns whether the voter at this node has promised a later ballot, and would refuse to accept this one. */
        private boolean isPreempted() {
            return localAcceptor.promisedBallot().compareTo(ballot) > 0;
        }

        /** Begins a ballot that is newer than the change; this one answers the reads that it was begun for. */
        private void runAnotherBallot(boolean isChosen) {
            cancelTimeout();
            activeRun = null;
            if (isChosen) {
                reportChosen(newestBallot, newestState, newestText);
            }
            startBallot();
        }

        /**
         * Applies the change to the newest state. Returns {@code null} if it cannot be computed; it must not hold up
         * those that wait behind it.
         */
        private ChangeResult computeResult() {
            try {
                return current == null
                        ? ChangeResult.unchanged(null)
                        : current.change().apply(newestState, newestText);
            } catch (RuntimeException | StackOverflowError | LinkageError e) {
                environment.check(Invariant.CHANGE_COMPUTED, false, () -> Environment.describe(e));
                return null;
            }
        }

        /** Ends this ballot with a state that is known to be chosen. */
        private void finishAsChosen(Ballot chosenBallot, ReplicatedState state, byte[] text) {
            reportChosen(chosenBallot, state, text);
            if (current != null) {
                environment.onAnsweredFrom(state, current.queuedAt());
            }
            finish(answer);
        }

        private void reportChosen(Ballot chosenBallot, ReplicatedState state, byte[] text) {
            preemptions = 0;
            // Whatever a listener throws, the change is decided: its caller and those behind it must learn that.
            environment.runGuarded(() -> chosenListener.onChosen(chosenBallot, state, text));
            completeIfJoint(state);
            queue.answerReads(newestRead, new ProposalQueue.ReadResult(state, text));
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
            ballotTimeoutNanos = Math.max(BALLOT_TIMEOUT_NANOS, ballotTimeoutNanos / 2);
            finishAsChosen(ballot, proposedState, proposedText);
        }

        /**
         * Once a joint state is known to be chosen, by majorities of both voter sets, the previous voters are
         * no longer needed.
         */
        private void completeIfJoint(ReplicatedState state) {
            if (state.isJoint()) {
                queue.addOwnChange(completeVoterChange(state), 4 * BALLOT_TIMEOUT_NANOS, result -> {});
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
