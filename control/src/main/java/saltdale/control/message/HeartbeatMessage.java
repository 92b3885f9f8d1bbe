package saltdale.control.message;

import java.util.List;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;

/** Heartbeats between control nodes; they show which nodes reach each other, and carry lease renewals. */
public sealed interface HeartbeatMessage extends Message {
    /**
     * Sent to all control nodes. {@code version} is the newest version known to be chosen; {@code ended} are the
     * incarnations of members that have ended.
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
                    fields.value("from", PeerIdentity::of),
                    fields.integer("number"),
                    fields.integer("version"),
                    fields.bool("leaving"),
                    fields.list("renewals", Renewal::of),
                    fields.strings("ended"));
        }
    }

    /**
     * The immediate reply to the heartbeat with this number. {@code version} is the newest version known to be chosen;
     * {@code accepted} is the version accepted last, which may have been chosen without the sender's knowledge.
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
                    fields.value("from", PeerIdentity::of),
                    fields.integer("number"),
                    fields.integer("version"),
                    fields.integer("accepted"));
        }
    }

    /** One incarnation of a control node's process; {@code id} is the identity stored on its disk. */
    record PeerIdentity(String id, String name, String host, String incarnation) {
        List<Object> tree() {
            return List.of(id, name, host, incarnation);
        }

        static PeerIdentity of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list
                    && list.size() == 4
                    && list.get(0) instanceof String id
                    && list.get(1) instanceof String name
                    && list.get(2) instanceof String host
                    && list.get(3) instanceof String incarnation) {
                return new PeerIdentity(id, name, host, incarnation);
            }
            throw new MalformedMessage("is not the identity of a control node");
        }
    }

    /** A member's renewal of its lease; of two renewals the one with the higher count is newer. */
    record Renewal(Member member, long count) {
        List<Object> tree() {
            return List.of(member.tree(), count);
        }

        static Renewal of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list && list.size() == 2 && list.get(1) instanceof Long count) {
                return new Renewal(Member.of(list.get(0)), count);
            }
            throw new MalformedMessage("is not a lease renewal");
        }
    }
}
