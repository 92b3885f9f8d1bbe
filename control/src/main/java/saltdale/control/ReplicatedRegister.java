package saltdale.control;

import java.util.Map;
import java.util.function.Consumer;
import saltdale.control.message.BallotMessage;
import saltdale.control.message.BallotMessage.Accept;
import saltdale.control.message.BallotMessage.Chosen;
import saltdale.control.message.BallotMessage.Fetch;
import saltdale.control.message.BallotMessage.Prepare;

/** One control node's part in the consensus: it votes, runs ballots, and knows the newest chosen state. */
public final class ReplicatedRegister {
    /** Called whenever a newer state is known to be chosen. */
    interface Listener {
        void onChosen(ReplicatedState state, byte[] text);
    }

    private final Environment environment;
    private final String id;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Listener listener;
    private ReplicatedState chosen;
    private byte[] chosenText;

    ReplicatedRegister(
            Environment environment, String id, String incarnation, ProposalQueue.Factory queue, Listener listener) {
        this.environment = environment;
        this.id = id;
        this.listener = listener;
        acceptor = new Acceptor(environment, id);
        proposer = new Proposer(environment, incarnation, acceptor, id::equals, queue, (ballot, state, newText) -> {
            learn(state, newText);
            announceChosen();
        });
    }

    /** Restores this node's votes from the records on disk. */
    void restore(Map<String, byte[]> records) throws MalformedMessage {
        acceptor.restore(records);
        if (acceptor.acceptedState() != null) {
            // The accepted state is not known to be chosen, but it names the voters to ask for promises.
            proposer.learn(acceptor.acceptedState(), acceptor.acceptedText(), false);
        }
    }

    /** See {@link Acceptor#writeWithNextVote}. */
    void writeWithNextVote(Map<String, byte[]> records) {
        acceptor.writeWithNextVote(records);
    }

    /** Sets the state of the very first start of the cluster, whose voters are known from the settings. */
    void initialize(ReplicatedState state) {
        if (acceptor.acceptedState() == null) {
            proposer.learn(state, null, true);
        }
    }

    /** The newest state known to be chosen; {@code null} if there is none. */
    public ReplicatedState chosen() {
        return chosen;
    }

    /** The configuration text of the newest chosen state; {@code null} if there is none. */
    public byte[] chosenText() {
        return chosenText;
    }

    /** The version of the newest state known to be chosen; -1 if there is none. */
    long chosenVersion() {
        return chosen == null ? -1 : chosen.version();
    }

    /**
     * The version of the newest state accepted here, which may have been chosen without this node knowing; -1 if there
     * is none.
     */
    long acceptedVersion() {
        return acceptor.acceptedVersion();
    }

    /**
     * Whether a state was accepted here without it being known whether it, or another one of its version, was chosen.
     */
    boolean hasUndecidedState() {
        return acceptor.acceptedVersion() > chosenVersion();
    }

    /** Since when there has been an undecided state; see {@link #hasUndecidedState}. */
    long undecidedSince() {
        return acceptor.undecidedSince(chosenVersion());
    }

    /** The state whose voters are asked: the newest chosen one, or else the newest that may be chosen. */
    ReplicatedState quorumState() {
        return chosen != null ? chosen : proposer.knownState();
    }

    /** See {@link Proposer#propose}. */
    boolean propose(Proposer.Change change, int bytes, long timeoutNanos, Consumer<Object> onResult) {
        return proposer.propose(change, bytes, timeoutNanos, onResult);
    }

    /** See {@link Proposer#proposeOwnChange}. */
    void proposeOwnChange(Proposer.Change change, long timeoutNanos, Consumer<Object> onResult) {
        proposer.proposeOwnChange(change, timeoutNanos, onResult);
    }

    /** See {@link Proposer#read}. */
    boolean read(long timeoutNanos, Consumer<ProposalQueue.ReadResult> onResult) {
        return proposer.read(timeoutNanos, onResult);
    }

    /** Handles a consensus message from another control node. */
    void handleMessage(String fromHost, BallotMessage message) {
        if (message instanceof Prepare prepare) {
            if (prepare.voter().equals(id)) {
                acceptor.prepare(prepare.ballot(), prepare.knownText(), reply -> environment.send(fromHost, reply));
            }
        } else if (message instanceof Accept accept) {
            if (accept.voter().equals(id)) {
                acceptor.accept(
                        accept.ballot(), accept.state(), accept.text(), reply -> environment.send(fromHost, reply));
            }
        } else if (message instanceof BallotMessage.Reply reply) {
            proposer.handleReply(reply);
        } else if (message instanceof Chosen announcement) {
            handleChosen(fromHost, announcement);
        } else if (message instanceof Fetch fetch && chosen != null) {
            boolean requesterHasText = fetch.knownText().equals(chosen.textKey());
            environment.send(fromHost, new Chosen(chosen, requesterHasText ? null : chosenText));
        }
    }

    private void handleChosen(String fromHost, Chosen announcement) {
        ReplicatedState state = announcement.state();
        if (chosen != null && state.version() <= chosen.version()) {
            return;
        }
        byte[] newText = announcement.text() != null ? announcement.text() : textOf(state);
        if (newText == null && !state.textKey().isEmpty()) {
            fetchFrom(fromHost);
            return;
        }
        learn(state, newText);
    }

    private byte[] textOf(ReplicatedState state) {
        if (chosen != null && chosen.textKey().equals(state.textKey())) {
            return chosenText;
        }
        return acceptor.acceptedState() != null
                        && acceptor.acceptedState().textKey().equals(state.textKey())
                ? acceptor.acceptedText()
                : null;
    }

    /** Requests the newest chosen state from another control node. */
    void fetchFrom(String host) {
        environment.send(host, new Fetch(chosen == null ? "" : chosen.textKey()));
    }

    private void learn(ReplicatedState state, byte[] newText) {
        if (chosen != null && state.version() <= chosen.version()) {
            return;
        }
        ReplicatedState previous = chosen;
        environment.check(
                Invariant.REVISION_RISES,
                previous == null || state.revision() >= previous.revision(),
                () -> "version " + state.version() + " has revision " + state.revision() + ", version "
                        + previous.version() + " has " + previous.revision());
        chosen = state;
        chosenText = state.textKey().isEmpty() ? null : newText;
        proposer.learn(state, chosenText, true);
        // The other control nodes are told whatever happens here.
        environment.runGuarded(() -> listener.onChosen(state, chosenText));
    }

    private void announceChosen() {
        for (Voter voter : chosen.voters()) {
            if (!voter.id().equals(id)) {
                environment.send(voter.host(), new Chosen(chosen, null));
            }
        }
    }
}
