package saltdale.control.message;

import java.util.List;
import java.util.Map;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;

/** Messages between a proxy and the control node that renews its lease and sends it its news. */
public sealed interface SessionMessage extends Message {
    /** What a control node tells in a session; {@code number} counts from 1, so that a gap shows. */
    sealed interface News extends SessionMessage {
        String session();

        long number();
    }

    /** A proxy renews its lease; {@code revision} is the configuration that it has, -1 for none. */
    record LeaseRenewal(Member member, long count, String session, long revision) implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEASE_RENEWAL;
        }

        @Override
        public List<Object> fields() {
            return List.of(member.tree(), count, session, revision);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static LeaseRenewal read(FieldReader fields) throws MalformedMessage {
            return new LeaseRenewal(
                    fields.composed("member", Member::of),
                    fields.whole("count"),
                    fields.text("session"),
                    fields.whole("revision"));
        }
    }

    /** The lease holds for so long from when the renewal was sent; {@code newsSent} counts the session's news. */
    record LeaseGrant(
            long count, boolean hasQuorum, long validMillis, String session, long newsSent, List<String> controlHosts)
            implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEASE_GRANT;
        }

        @Override
        public List<Object> fields() {
            return List.of(count, hasQuorum, validMillis, session, newsSent, controlHosts);
        }

        static LeaseGrant read(FieldReader fields) throws MalformedMessage {
            return new LeaseGrant(
                    fields.whole("count"),
                    fields.flag("hasQuorum"),
                    fields.whole("validMillis"),
                    fields.text("session"),
                    fields.whole("newsSent"),
                    fields.texts("controlHosts"));
        }
    }

    /** The lease is over for good: the proxy goes on as another member. */
    record LeaseOver(long count) implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEASE_OVER;
        }

        @Override
        public List<Object> fields() {
            return List.of(count);
        }

        static LeaseOver read(FieldReader fields) throws MalformedMessage {
            return new LeaseOver(fields.whole("count"));
        }
    }

    /** The control node has just lost contact with a majority. */
    record QuorumLost() implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.QUORUM_LOST;
        }

        @Override
        public List<Object> fields() {
            return List.of();
        }

        static QuorumLost read(FieldReader fields) throws MalformedMessage {
            return new QuorumLost();
        }
    }

    /** The whole configuration. */
    record ConfigurationNews(String session, long number, Map<String, Object> configuration) implements News {
        @Override
        public MessageKind kind() {
            return MessageKind.CONFIGURATION_NEWS;
        }

        @Override
        public List<Object> fields() {
            return List.of(session, number, configuration);
        }

        static ConfigurationNews read(FieldReader fields) throws MalformedMessage {
            return new ConfigurationNews(
                    fields.text("session"),
                    fields.whole("number"),
                    fields.object("configuration").map());
        }
    }

    /** All members. */
    record MembersNews(String session, long number, List<Member> members) implements News {
        @Override
        public MessageKind kind() {
            return MessageKind.MEMBERS_NEWS;
        }

        @Override
        public List<Object> fields() {
            return List.of(session, number, members.stream().map(Member::tree).toList());
        }

        static MembersNews read(FieldReader fields) throws MalformedMessage {
            return new MembersNews(fields.text("session"), fields.whole("number"), fields.list("members", Member::of));
        }
    }

    /** Instances of the services that the proxy owns, those that changed. */
    record InstancesNews(String session, long number, List<Instance> instances) implements News {
        @Override
        public MessageKind kind() {
            return MessageKind.INSTANCES_NEWS;
        }

        @Override
        public List<Object> fields() {
            return List.of(
                    session, number, instances.stream().map(Instance::tree).toList());
        }

        static InstancesNews read(FieldReader fields) throws MalformedMessage {
            return new InstancesNews(
                    fields.text("session"), fields.whole("number"), fields.list("instances", Instance::of));
        }
    }
}
