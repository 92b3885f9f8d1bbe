package saltdale.control.message;

import java.util.List;
import java.util.Map;
import saltdale.control.ConfigurationSnapshot;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;

/** Messages between a proxy and the control node that renews its lease and sends it its news. */
public sealed interface SessionMessage extends Message {
    /** What a control node tells in a session; {@code number} counts from 1, so that a gap shows. */
    sealed interface SessionUpdate extends SessionMessage {
        String session();

        long number();
    }

    /**
     * A proxy renews its lease; {@code revision} is the configuration that it has, -1 for none. While its session has
     * no grant yet it adds the digests of its configuration and of its members, later empty texts.
     */
    record LeaseRenewal(Member member, long count, String session, long revision, String digest, String membersDigest)
            implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEASE_RENEWAL;
        }

        @Override
        public List<Object> fields() {
            return List.of(member.tree(), count, session, revision, digest, membersDigest);
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
                    fields.whole("revision"),
                    fields.text("digest"),
                    fields.text("membersDigest"));
        }
    }

    /** The lease holds for so long from when the renewal was sent; {@code updatesSent} counts the session's news. */
    record LeaseGrant(
            long count,
            boolean hasQuorum,
            long validMillis,
            String session,
            long updatesSent,
            List<String> controlHosts)
            implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEASE_GRANT;
        }

        @Override
        public List<Object> fields() {
            return List.of(count, hasQuorum, validMillis, session, updatesSent, controlHosts);
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
    record LeaseExpired(long count) implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEASE_OVER;
        }

        @Override
        public List<Object> fields() {
            return List.of(count);
        }

        static LeaseExpired read(FieldReader fields) throws MalformedMessage {
            return new LeaseExpired(fields.whole("count"));
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

    /** The control node is about to end, as planned: its proxies are to go on at another one. */
    record ControlNodeLeaving() implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.CONTROL_NODE_LEAVES;
        }

        @Override
        public List<Object> fields() {
            return List.of();
        }

        static ControlNodeLeaving read(FieldReader fields) throws MalformedMessage {
            return new ControlNodeLeaving();
        }
    }

    /** What has changed of the configuration, see {@link saltdale.control.ConfigurationTree}. */
    record ConfigurationChange(
            String session,
            long number,
            long baseRevision,
            String baseDigest,
            long revision,
            String digest,
            Map<String, Object> change)
            implements SessionUpdate {
        @Override
        public MessageKind kind() {
            return MessageKind.CONFIGURATION_CHANGE;
        }

        @Override
        public List<Object> fields() {
            return List.of(session, number, baseRevision, baseDigest, revision, digest, change);
        }

        static ConfigurationChange read(FieldReader fields) throws MalformedMessage {
            return new ConfigurationChange(
                    fields.text("session"),
                    fields.whole("number"),
                    fields.whole("baseRevision"),
                    fields.text("baseDigest"),
                    fields.whole("revision"),
                    fields.text("digest"),
                    fields.object("change").map());
        }
    }

    /** There is a configuration of this revision, or a newer one, and no change leads to it: the proxy fetches it. */
    record ConfigurationOffer(String session, long number, long revision) implements SessionUpdate {
        @Override
        public MessageKind kind() {
            return MessageKind.CONFIGURATION_OFFER;
        }

        @Override
        public List<Object> fields() {
            return List.of(session, number, revision);
        }

        static ConfigurationOffer read(FieldReader fields) throws MalformedMessage {
            return new ConfigurationOffer(fields.text("session"), fields.whole("number"), fields.whole("revision"));
        }
    }

    /** A proxy asks for the next part of a snapshot; the digest is empty where it has none of it yet. */
    record SnapshotRequest(String life, String session, String digest, int offset) implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SNAPSHOT_REQUEST;
        }

        @Override
        public List<Object> fields() {
            return List.of(life, session, digest, (long) offset);
        }

        static SnapshotRequest read(FieldReader fields) throws MalformedMessage {
            return new SnapshotRequest(
                    fields.text("life"),
                    fields.text("session"),
                    fields.text("digest"),
                    fields.within("offset", 0, Integer.MAX_VALUE));
        }
    }

    /** Bytes of a snapshot, from this offset of so many in total. */
    record SnapshotPart(String session, String digest, int offset, int total, byte[] bytes) implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SNAPSHOT_PART;
        }

        @Override
        public List<Object> fields() {
            return List.of(session, digest, (long) offset, (long) total, bytes);
        }

        static SnapshotPart read(FieldReader fields) throws MalformedMessage {
            return new SnapshotPart(
                    fields.text("session"),
                    fields.text("digest"),
                    fields.within("offset", 0, Integer.MAX_VALUE),
                    fields.within("total", 1, ConfigurationSnapshot.MAX_UNPACKED_BYTES),
                    fields.bytes("bytes"));
        }
    }

    /** Members that are new or changed, all of them where {@code whole}, and lives that are none any more. */
    record MembersChange(
            String session, long number, boolean whole, List<Member> changed, List<String> gone, String digest)
            implements SessionUpdate {
        @Override
        public MessageKind kind() {
            return MessageKind.MEMBERS_CHANGE;
        }

        @Override
        public List<Object> fields() {
            return List.of(
                    session, number, whole, changed.stream().map(Member::tree).toList(), gone, digest);
        }

        static MembersChange read(FieldReader fields) throws MalformedMessage {
            return new MembersChange(
                    fields.text("session"),
                    fields.whole("number"),
                    fields.flag("whole"),
                    fields.list("changed", Member::of),
                    fields.texts("gone"),
                    fields.text("digest"));
        }
    }

    /** Instances of the services that the proxy owns, those that changed. */
    record InstancesChange(String session, long number, List<Instance> instances) implements SessionUpdate {
        @Override
        public MessageKind kind() {
            return MessageKind.INSTANCES_NEWS;
        }

        @Override
        public List<Object> fields() {
            return List.of(
                    session, number, instances.stream().map(Instance::tree).toList());
        }

        static InstancesChange read(FieldReader fields) throws MalformedMessage {
            return new InstancesChange(
                    fields.text("session"), fields.whole("number"), fields.list("instances", Instance::of));
        }
    }
}
