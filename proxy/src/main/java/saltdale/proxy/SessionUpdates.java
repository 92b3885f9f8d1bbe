package saltdale.proxy;

import java.util.function.Consumer;
import saltdale.control.Environment;
import saltdale.control.MalformedMessage;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.ConfigurationOffer;
import saltdale.control.message.SessionMessage.InstancesChange;
import saltdale.control.message.SessionMessage.MembersChange;
import saltdale.control.message.SessionMessage.SessionUpdate;
import saltdale.control.message.SessionMessage.SnapshotPart;
import saltdale.control.message.SessionMessage.SnapshotRequest;

/**
 * Applies the updates of a session in the order in which the control node sent them: changes of the configuration or a
 * snapshot fetched in parts, members, instances. The known state is kept when another session starts.
 */
final class SessionUpdates {
    private final Environment environment;
    private final ControlSession.Listener listener;
    private final Consumer<Message> toControlNode;
    private final ConfigurationReplica configuration = new ConfigurationReplica();
    private final MembersReplica members = new MembersReplica();
    private String session = "";
    private String incarnation = "";
    private long count; // of updates received in this session
    private boolean fetchingSnapshot;
    private long fetchedAt; // when the last snapshot part was requested

    SessionUpdates(Environment environment, ControlSession.Listener listener, Consumer<Message> toControlNode) {
        this.environment = environment;
        this.listener = listener;
        this.toControlNode = toControlNode;
    }

    /** Starts a session of the given incarnation of this proxy. */
    void startSession(String sessionId, String ofIncarnation) {
        session = sessionId;
        incarnation = ofIncarnation;
        count = 0;
        fetchingSnapshot = false;
    }

    /** The revision of the received configuration; -1 before the first one is complete. */
    long revision() {
        return configuration.revision();
    }

    String configurationDigest() {
        return configuration.digest();
    }

    String membersDigest() {
        return members.digest();
    }

    /** Whether all updates sent in this session have been received. */
    boolean hasAll(long sentCount) {
        return sentCount == count;
    }

    /** Number of updates received in this session. */
    long count() {
        return count;
    }

    /** Whether a snapshot of the configuration is being fetched. */
    boolean isFetchingSnapshot() {
        return fetchingSnapshot;
    }

    /** Applies the next update; false if it does not fit the previous ones, so that a new session must start. */
    boolean apply(SessionUpdate update) throws MalformedMessage {
        if (update.number() != count + 1) {
            environment.log("update " + update.number() + " received after update " + count);
            return false;
        }
        count++;
        if (update instanceof ConfigurationChange change) {
            return applyChange(change);
        } else if (update instanceof ConfigurationOffer) {
            fetchingSnapshot = true;
            fetchNextPart();
        } else if (update instanceof MembersChange change) {
            return applyChange(change);
        } else if (update instanceof InstancesChange instances) {
            listener.instancesChanged(instances.instances());
        }
        return true;
    }

    private boolean applyChange(ConfigurationChange change) throws MalformedMessage {
        switch (configuration.apply(change)) {
            case APPLIED -> listener.configurationChanged(configuration.tree().toMap());
            case REJECTED -> {
                environment.log("the change to configuration " + change.revision()
                        + " does not fit the current configuration " + configuration.revision());
                return false;
            }
            default -> {}
        }
        return true;
    }

    private boolean applyChange(MembersChange change) {
        if (!members.apply(change)) {
            environment.log("the received members do not have the expected digest");
            return false;
        }
        listener.membersChanged(members.all());
        return true;
    }

    /** Requests the next part of a snapshot; only one at a time, so that other messages can pass in between. */
    private void fetchNextPart() {
        fetchedAt = environment.now();
        toControlNode.accept(new SnapshotRequest(
                incarnation, session, configuration.snapshotDigest(), configuration.snapshotOffset()));
    }

    /** Repeats the request for a part that did not arrive in time: the request or the reply was lost. */
    void retryFetchAfter(long timeoutNanos) {
        if (fetchingSnapshot && environment.now() - fetchedAt >= timeoutNanos) {
            fetchNextPart();
        }
    }

    /** Adds a requested part of a snapshot. */
    void addSnapshotPart(SnapshotPart part) throws MalformedMessage {
        int offsetBefore = configuration.snapshotOffset();
        if (configuration.addSnapshotPart(part)) {
            fetchingSnapshot = false;
            listener.configurationChanged(configuration.tree().toMap());
        } else if (configuration.snapshotOffset() != offsetBefore) {
            fetchNextPart();
        }
    }
}
