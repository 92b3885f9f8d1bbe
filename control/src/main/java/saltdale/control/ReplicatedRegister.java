package saltdale.control;

import java.util.Map;
import java.util.function.Consumer;
import saltdale.control.message.BallotMessage;
import saltdale.control.message.BallotMessage.Accept;
import saltdale.control.message.BallotMessage.Chosen;
import saltdale.control.message.BallotMessage.Fetch;
import saltdale.control.message.BallotMessage.Prepare;

/** A control node's part in the consensus: it votes, runs ballots, and knows the newest chosen state. */
public final class ReplicatedRegister {
    /** Told whenever a newer state is known to be chosen. */
    interface Listener {
        void onChosen(ReplicatedState state, byte[] text);
    }

    private final Environment environment;
    private final String id;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Listener listener;
    private ReplicatedState chosen;
    private byte[] text;

    ReplicatedRegister(Environment environment, String id, String life, Listener listener) {
        this.environment = environment;
        this.id = id;
        this.listener = listener;
        acceptor = new Acceptor(environment, id);
        proposer = new Proposer(environment, life, acceptor, id::equals, (ballot, state, newText) -> {
            learnt(state, newText);
            tell();
        });
    }

    void restore(Map<String, byte[]> records) throws MalformedMessage {
        acceptor.restore(records);
        if (acceptor.acceptedState() != null) {
            // Not known to be chosen, but whoever is asked for promises is found by it.
            proposer.learn(acceptor.acceptedState(), acceptor.acceptedText(), false);
        }
    }

    /** See {@link Acceptor#writeWithNextVote}. */
    void writeWithNextVote(Map<String, byte[]> records) {
        acceptor.writeWithNextVote(records);
    }

    /** The first start of all, whose voters all know. */
    void initialize(ReplicatedState state) {
        if (acceptor.acceptedState() == null) {
            proposer.learn(state, null, true);
        }
    }

    /** The newest state known to be chosen; null where none is. */
    public ReplicatedState chosen() {
        return chosen;
    }

    public byte[] chosenText() {
        return text;
    }

    /** The version of the newest state known to be chosen; -1 where none is. */
    long chosenVersion() {
        return chosen == null ? -1 : chosen.version();
    }

    /** The version of the newest state accepted here, which may have been chosen unknown to us; -1 where none is. */
    long acceptedVersion() {
        return acceptor.acceptedVersion();
    }

    /** Whether a state was accepted here of which it is not known whether it, or another in its place, was chosen. */
    boolean hasUndecidedState() {
        return acceptor.acceptedVersion() > chosenVersion();
    }

    /** Since when that is so. */
    long undecidedSince() {
        return acceptor.undecidedSince(chosenVersion());
    }

    /** The state whose voters are asked: chosen, or the newest that may be. */
    ReplicatedState quorumState() {
        return chosen != null ? chosen : proposer.knownState();
    }

    void propose(Proposer.Change change, long within, Consumer<Object> answer) {
        proposer.propose(change, within, answer);
    }

    /** The same, ahead of all that waits. */
    void proposeWithPriority(Proposer.Change change, long within, Consumer<Object> answer) {
        proposer.proposeWithPriority(change, within, answer);
    }

    /** Takes part in a ballot, or hears of its end. */
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
        } else if (message instanceof Chosen news) {
            heard(fromHost, news);
        } else if (message instanceof Fetch fetch && chosen != null) {
            boolean has = fetch.knownText().equals(chosen.textKey());
            environment.send(fromHost, new Chosen(chosen, has ? null : text));
        }
    }

    private void heard(String fromHost, Chosen news) {
        ReplicatedState state = news.state();
        if (chosen != null && state.version() <= chosen.version()) {
            return;
        }
        byte[] with = news.text() != null ? news.text() : textOf(state);
        if (with == null && !state.textKey().isEmpty()) {
            fetchFrom(fromHost);
            return;
        }
        learnt(state, with);
    }

    private byte[] textOf(ReplicatedState state) {
        if (chosen != null && chosen.textKey().equals(state.textKey())) {
            return text;
        }
        return acceptor.acceptedState() != null
                        && acceptor.acceptedState().textKey().equals(state.textKey())
                ? acceptor.acceptedText()
                : null;
    }

    /** Asks another control node for the newest chosen state. */
    void fetchFrom(String host) {
        environment.send(host, new Fetch(chosen == null ? "" : chosen.textKey()));
    }

    private void learnt(ReplicatedState state, byte[] newText) {
        if (chosen != null && state.version() <= chosen.version()) {
            return;
        }
        ReplicatedState before = chosen;
        environment.check(
                Invariant.REVISION_RISES,
                before == null || state.revision() >= before.revision(),
                () -> "version " + state.version() + " has revision " + state.revision() + ", version "
                        + before.version() + " has " + before.revision());
        chosen = state;
        text = state.textKey().isEmpty() ? null : newText;
        proposer.learn(state, text, true);
        listener.onChosen(state, text);
    }

    private void tell() {
        for (Voter voter : chosen.voters()) {
            if (!voter.id().equals(id)) {
                environment.send(voter.host(), new Chosen(chosen, null));
            }
        }
    }
}
