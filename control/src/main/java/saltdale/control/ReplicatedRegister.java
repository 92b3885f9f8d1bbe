package saltdale.control;

import java.util.Map;
import java.util.function.Consumer;

/** A control node's part in what is agreed: it votes, runs ballots, and knows the newest chosen state. */
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
        acceptor = new Acceptor(environment);
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

    /** The state whose voters are asked: chosen, or the newest that may be. */
    ReplicatedState basis() {
        return chosen != null ? chosen : proposer.basis();
    }

    void propose(Proposer.Change change, long within, Consumer<Object> answer) {
        proposer.propose(change, within, answer);
    }

    /** Takes part in a ballot, or hears of its end; {@code from} is who sent it. */
    void message(String fromId, String fromHost, Fields message) throws MalformedMessage {
        switch (message.text("t")) {
            case "prepare" -> {
                if (message.text("to").equals(id)) {
                    acceptor.prepare(
                            Ballot.of(message, "b"),
                            message.text("k"),
                            reply -> environment.send(fromHost, signed(reply)));
                }
            }
            case "accept" -> {
                if (message.text("to").equals(id)) {
                    acceptor.accept(
                            Ballot.of(message, "b"),
                            ReplicatedState.of(message.object("s")),
                            message.has("x") ? message.bytes("x") : null,
                            reply -> environment.send(fromHost, signed(reply)));
                }
            }
            case "promise", "nack", "accepted", "need" -> proposer.reply(fromId, message);
            case "chosen" -> heard(fromHost, message);
            case "fetch" -> {
                if (chosen != null) {
                    boolean has = message.text("k").equals(chosen.textKey());
                    environment.send(fromHost, Fields.tree("t", "chosen", "s", chosen.tree(), "x", has ? null : text));
                }
            }
            default -> throw new MalformedMessage("no message of ballots");
        }
    }

    /** Guards against a reply from before a disk was lost that is taken for one of the voter there now. */
    private Map<String, Object> signed(Map<String, Object> reply) {
        reply.put("f", id);
        return reply;
    }

    private void heard(String fromHost, Fields message) throws MalformedMessage {
        ReplicatedState state = ReplicatedState.of(message.object("s"));
        if (chosen != null && state.version() <= chosen.version()) {
            return;
        }
        byte[] with = message.has("x") ? message.bytes("x") : textOf(state);
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

    void fetch(String host) {
        String key = chosen == null ? "" : chosen.textKey();
        environment.send(host, Fields.tree("t", "fetch", "k", key));
    }

    private void learnt(ReplicatedState state, byte[] newText) {
        if (chosen != null && state.version() <= chosen.version()) {
            return;
        }
        chosen = state;
        text = state.textKey().isEmpty() ? null : newText;
        proposer.knows(state, text, true);
        listener.chosen(state, text);
    }

    private void tell() {
        for (Voter voter : chosen.voters()) {
            if (!voter.id().equals(id)) {
                environment.send(voter.host(), Fields.tree("t", "chosen", "s", chosen.tree()));
            }
        }
    }
}
