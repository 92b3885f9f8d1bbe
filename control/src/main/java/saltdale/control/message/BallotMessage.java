package saltdale.control.message;

import java.util.Arrays;
import java.util.List;
import saltdale.control.Ballot;
import saltdale.control.MalformedMessage;
import saltdale.control.ReplicatedState;

/** Messages of the consensus on the replicated state; the roles are those of CASPaxos. */
public sealed interface BallotMessage extends Message {
    /** A reply of a voter; {@code voter} is its id, so that a late reply is not attributed to another voter. */
    sealed interface Reply extends BallotMessage {
        String voter();

        Ballot ballot();
    }

    /** First phase: asks a voter for a promise; {@code knownText} is the key of the text that the proposer has. */
    record Prepare(Ballot ballot, String knownText, String voter) implements BallotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PREPARE;
        }

        @Override
        public List<Object> fields() {
            return List.of(ballot.tree(), knownText, voter);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static Prepare read(FieldReader fields) throws MalformedMessage {
            return new Prepare(fields.value("ballot", Ballot::of), fields.string("knownText"), fields.string("voter"));
        }
    }

    /**
     * The voter promises to accept no lower ballot, and reports the state that it accepted last. The text of that state
     * is included only if the proposer does not have it.
     */
    record Promise(String voter, Ballot ballot, Ballot accepted, ReplicatedState state, byte[] text) implements Reply {
        @Override
        public MessageKind kind() {
            return MessageKind.PROMISE;
        }

        @Override
        public List<Object> fields() {
            return Arrays.asList(voter, ballot.tree(), accepted.tree(), state == null ? null : state.tree(), text);
        }

        static Promise read(FieldReader fields) throws MalformedMessage {
            return new Promise(
                    fields.string("voter"),
                    fields.value("ballot", Ballot::of),
                    fields.value("accepted", Ballot::of),
                    fields.optionalValue("state", ReplicatedState::of),
                    fields.optionalBytes("text"));
        }
    }

    /** The voter has promised a higher ballot. */
    record Refusal(String voter, Ballot ballot, Ballot promised) implements Reply {
        @Override
        public MessageKind kind() {
            return MessageKind.REFUSAL;
        }

        @Override
        public List<Object> fields() {
            return List.of(voter, ballot.tree(), promised.tree());
        }

        static Refusal read(FieldReader fields) throws MalformedMessage {
            return new Refusal(
                    fields.string("voter"), fields.value("ballot", Ballot::of), fields.value("promised", Ballot::of));
        }
    }

    /** Second phase: asks a voter to accept a state; the text is omitted if the voter may have it. */
    record Accept(Ballot ballot, ReplicatedState state, byte[] text, String voter) implements BallotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.ACCEPT;
        }

        @Override
        public List<Object> fields() {
            return Arrays.asList(ballot.tree(), state.tree(), text, voter);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static Accept read(FieldReader fields) throws MalformedMessage {
            return new Accept(
                    fields.value("ballot", Ballot::of),
                    fields.value("state", ReplicatedState::of),
                    fields.optionalBytes("text"),
                    fields.string("voter"));
        }
    }

    /** The voter has accepted the state and synced it to disk. */
    record Accepted(String voter, Ballot ballot) implements Reply {
        @Override
        public MessageKind kind() {
            return MessageKind.ACCEPTED;
        }

        @Override
        public List<Object> fields() {
            return List.of(voter, ballot.tree());
        }

        static Accepted read(FieldReader fields) throws MalformedMessage {
            return new Accepted(fields.string("voter"), fields.value("ballot", Ballot::of));
        }
    }

    /** The voter lacks the text of the state that it was asked to accept. */
    record TextNeeded(String voter, Ballot ballot) implements Reply {
        @Override
        public MessageKind kind() {
            return MessageKind.TEXT_NEEDED;
        }

        @Override
        public List<Object> fields() {
            return List.of(voter, ballot.tree());
        }

        static TextNeeded read(FieldReader fields) throws MalformedMessage {
            return new TextNeeded(fields.string("voter"), fields.value("ballot", Ballot::of));
        }
    }

    /** A state that is known to be chosen. */
    record Chosen(ReplicatedState state, byte[] text) implements BallotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.CHOSEN;
        }

        @Override
        public List<Object> fields() {
            return Arrays.asList(state.tree(), text);
        }

        static Chosen read(FieldReader fields) throws MalformedMessage {
            return new Chosen(fields.value("state", ReplicatedState::of), fields.optionalBytes("text"));
        }
    }

    /** Asks for the newest chosen state; {@code knownText} is the key of the text that the sender has. */
    record Fetch(String knownText) implements BallotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.FETCH;
        }

        @Override
        public List<Object> fields() {
            return List.of(knownText);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static Fetch read(FieldReader fields) throws MalformedMessage {
            return new Fetch(fields.string("knownText"));
        }
    }
}
