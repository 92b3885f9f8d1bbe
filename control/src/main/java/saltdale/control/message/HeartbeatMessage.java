package saltdale.control.message;

import java.util.List;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;

/** Heartbeats between control nodes: they show who reaches whom, and carry lease renewals. */
public sealed interface HeartbeatMessage extends Message {
    /**
     * Sent to all control nodes; {@code version} is the newest known to be chosen, {@code ended} are lives of
     * members that are over.
     */
    record Heartbeat(
            PeerIdentity from, long number, long version, boolean leaving, List<Renewal> renewals, List<String> ended)
            implements HeartbeatMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.HEARTBEAT;
        }

        @Override
        public List<Object> fields() {
            return List.of(
                    from.tree(),
                    number,
                    version,
                    leaving,
                    renewals.stream().map(Renewal::tree).toList(),
                    ended);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static Heartbeat read(FieldReader fields) throws MalformedMessage {
            return new Heartbeat(
                    fields.composed("from", PeerIdentity::of),
                    fields.whole("number"),
                    fields.whole("version"),
                    fields.flag("leaving"),
                    fields.list("renewals", Renewal::of),
                    fields.texts("ended"));
        }
    }

    /**
     * Sent back at once with the number of the heartbeat; {@code version} is the newest known to be chosen, {@code
     * accepted} that of the state accepted last, which may have been chosen without the sender's knowledge.
     */
    record HeartbeatAck(PeerIdentity from, long number, long version, long accepted) implements HeartbeatMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.HEARTBEAT_ACK;
        }

        @Override
        public List<Object> fields() {
            return List.of(from.tree(), number, version, accepted);
        }

        static HeartbeatAck read(FieldReader fields) throws MalformedMessage {
            return new HeartbeatAck(
                    fields.composed("from", PeerIdentity::of),
                    fields.whole("number"),
                    fields.whole("version"),
                    fields.whole("accepted"));
        }
    }

    /** A control node in one life of its process; {@code id} is of its disk. */
    record PeerIdentity(String id, String name, String host, String life) {
        List<Object> tree() {
            return List.of(id, name, host, life);
        }

        static PeerIdentity of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list
                    && list.size() == 4
                    && list.get(0) instanceof String id
                    && list.get(1) instanceof String name
                    && list.get(2) instanceof String host
                    && list.get(3) instanceof String life) {
                return new PeerIdentity(id, name, host, life);
            }
            throw new MalformedMessage("is no control node");
        }
    }

    /** A member's renewal of its lease; of two the one with the higher count is newer. */
    record Renewal(Member member, long count) {
        List<Object> tree() {
            return List.of(member.tree(), count);
        }

        static Renewal of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list && list.size() == 2 && list.get(1) instanceof Long count) {
                return new Renewal(Member.of(list.get(0)), count);
            }
            throw new MalformedMessage("is no renewal");
        }
    }
}
