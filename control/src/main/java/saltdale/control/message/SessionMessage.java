package saltdale.control.message;

import java.util.List;
import java.util.Map;
import saltdale.control.ConfigurationSnapshot;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;

/** Messages between a proxy and the control node that renews its lease and sends updates to it. */
public sealed interface SessionMessage extends Message {
    /** An update that a control node sends in a session; {@code number} counts from 1, so that gaps are detected. */
    sealed interface SessionUpdate extends SessionMessage {
        String session();

        long number();
    }

    /**
     * A proxy renews its lease. {@code revision} is the revision of its configuration, or -1 if it has none. Until the
     * first grant of the session it adds the digests of its configuration and of its members, later empty strings.
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
                    fields.value("member", Member::of),
                    fields.integer("count"),
                    fields.string("session"),
                    fields.integer("revision"),
                    fields.string("digest"),
                    fields.string("membersDigest"));
        }
    }

    /**
     * The lease is valid for {@code validMillis} from when the renewal was sent; {@code updatesSent} counts the updates
     * of the session.
     */
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
                    fields.integer("count"),
                    fields.bool("hasQuorum"),
                    fields.integer("validMillis"),
                    fields.string("session"),
                    fields.integer("newsSent"),
                    fields.strings("controlHosts"));
        }
    }

    /** The lease has expired for good: the proxy must join again as a new member. */
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
            return new LeaseExpired(fields.integer("count"));
        }
    }

    /** The control node has lost contact with a majority. */
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

    /** The control node is about to shut down as planned; its proxies must switch to another one. */
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

    /** A change of the configuration, see {@link saltdale.control.ConfigurationTree}. */
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
                    fields.string("session"),
                    fields.integer("number"),
                    fields.integer("baseRevision"),
                    fields.string("baseDigest"),
                    fields.integer("revision"),
                    fields.string("digest"),
                    fields.object("change").map());
        }
    }

    /**
     * There is a configuration of at least this revision, and no change leads to it from the proxy's one, so the proxy
     * must fetch a snapshot.
     */
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
            return new ConfigurationOffer(
                    fields.string("session"), fields.integer("number"), fields.integer("revision"));
        }
    }

    /** A proxy requests the next part of a snapshot; the digest is empty if it has no part of it yet. */
    record SnapshotRequest(String incarnation, String session, String digest, int offset) implements SessionMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SNAPSHOT_REQUEST;
        }

        @Override
        public List<Object> fields() {
            return List.of(incarnation, session, digest, (long) offset);
        }

        static SnapshotRequest read(FieldReader fields) throws MalformedMessage {
            return new SnapshotRequest(
                    fields.string("life"),
                    fields.string("session"),
                    fields.string("digest"),
                    fields.integerInRange("offset", 0, Integer.MAX_VALUE));
        }
    }

    /** A part of a snapshot that starts at {@code offset}; {@code total} is the size of the snapshot in bytes. */
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
                    fields.string("session"),
                    fields.string("digest"),
                    fields.integerInRange("offset", 0, Integer.MAX_VALUE),
                    fields.integerInRange("total", 1, ConfigurationSnapshot.MAX_UNPACKED_BYTES),
                    fields.bytes("bytes"));
        }
    }

    /**
     * Members that are new or have changed, or all members if {@code complete}; {@code removed} are incarnations that
     * are no longer members.
     */
    record MembersChange(
            String session, long number, boolean complete, List<Member> changed, List<String> removed, String digest)
            implements SessionUpdate {
        @Override
        public MessageKind kind() {
            return MessageKind.MEMBERS_CHANGE;
        }

        @Override
        public List<Object> fields() {
            return List.of(
                    session,
                    number,
                    complete,
                    changed.stream().map(Member::tree).toList(),
                    removed,
                    digest);
        }

        static MembersChange read(FieldReader fields) throws MalformedMessage {
            return new MembersChange(
                    fields.string("session"),
                    fields.integer("number"),
                    fields.bool("whole"),
                    fields.list("changed", Member::of),
                    fields.strings("gone"),
                    fields.string("digest"));
        }
    }

    /** Changed instances of the services that the proxy owns. */
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
                    fields.string("session"), fields.integer("number"), fields.list("instances", Instance::of));
        }
    }
}
