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
        void chosen(ReplicatedState state, byte[] text);
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
        if (acceptor.state() != null) {
            // Not known to be chosen, but whoever is asked for promises is found by it.
            proposer.knows(acceptor.state(), acceptor.text(), false);
        }
    }

    /** See {@link Acceptor#writeWithVotes}. */
    void writeWithVotes(Map<String, byte[]> records) {
        acceptor.writeWithVotes(records);
    }

    /** The first start of all, whose voters all know. */
    void first(ReplicatedState state) {
        if (acceptor.state() == null) {
            proposer.knows(state, null, true);
        }
    }

    /** The newest state known to be chosen; null where none is. */
    public ReplicatedState chosen() {
        return chosen;
    }

    public byte[] text() {
        return text;
    }

    /** The version of the newest state known to be chosen; -1 where none is. */
    long version() {
        return chosen == null ? -1 : chosen.version();
    }

    /** The version of the newest state accepted here, which may have been chosen unknown to us; -1 where none is. */
    long acceptedVersion() {
        return acceptor.version();
    }

    /** Whether a state was accepted here of which it is not known whether it, or another in its place, was chosen. */
    boolean isUndecided() {
        return acceptor.version() > version();
    }

    /** Since when that is so. */
    long undecidedSince() {
        return acceptor.acceptedSince(version());
    }

    /** The state whose voters are asked: chosen, or the newest that may be. */
    ReplicatedState basis() {
        return chosen != null ? chosen : proposer.basis();
    }

    void propose(Proposer.Change change, long within, Consumer<Object> answer) {
        proposer.propose(change, within, answer);
    }

    /** The same, ahead of all that waits. */
    void proposeFirst(Proposer.Change change, long within, Consumer<Object> answer) {
        proposer.proposeFirst(change, within, answer);
    }

    /** Takes part in a ballot, or hears of its end. */
    void message(String fromHost, BallotMessage message) {
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
            proposer.reply(reply);
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
            fetch(fromHost);
            return;
        }
        learnt(state, with);
    }

    private byte[] textOf(ReplicatedState state) {
        if (chosen != null && chosen.textKey().equals(state.textKey())) {
            return text;
        }
        return acceptor.state() != null && acceptor.state().textKey().equals(state.textKey()) ? acceptor.text() : null;
    }

    /** Asks another control node for the newest chosen state. */
    void fetch(String host) {
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
        proposer.knows(state, text, true);
        listener.chosen(state, text);
    }

    private void tell() {
        for (Voter voter : chosen.voters()) {
            if (!voter.id().equals(id)) {
                environment.send(voter.host(), new Chosen(chosen, null));
            }
        }
    }
}
