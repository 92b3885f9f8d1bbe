package saltdale.proxy;

import java.util.function.Consumer;
import saltdale.control.Environment;
import saltdale.control.MalformedMessage;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.ConfigurationOffer;
import saltdale.control.message.SessionMessage.InstancesNews;
import saltdale.control.message.SessionMessage.MembersChange;
import saltdale.control.message.SessionMessage.News;
import saltdale.control.message.SessionMessage.SnapshotPart;
import saltdale.control.message.SessionMessage.SnapshotRequest;

/**
 * What a control node tells a proxy in a session, taken in the order in which it was sent: changes of the configuration
 * or a snapshot fetched in parts, members, instances. What is known stays as it is when another session begins.
 */
final class SessionNews {
    private final Environment environment;
    private final ControlSession.Reader reader;
    private final Consumer<Message> toControlNode;
    private final ConfigurationReplica configuration = new ConfigurationReplica();
    private final MembersReplica members = new MembersReplica();
    private String session = "";
    private String life = "";
    private long count; // of this session, so many came
    private boolean fetches; // the parts of a snapshot
    private long fetchedAt; // when the last part was asked for

    SessionNews(Environment environment, ControlSession.Reader reader, Consumer<Message> toControlNode) {
        this.environment = environment;
        this.reader = reader;
        this.toControlNode = toControlNode;
    }

    /** A new session, of this life of the proxy. */
    void begin(String id, String ofLife) {
        session = id;
        life = ofLife;
        count = 0;
        fetches = false;
    }

    long revision() {
        return configuration.revision();
    }

    String configurationDigest() {
        return configuration.digest();
    }

    String membersDigest() {
        return members.digest();
    }

    /** Whether all that was sent in this session has come. */
    boolean hasAll(long sent) {
        return sent == count;
    }

    /** How many pieces came in this session. */
    long count() {
        return count;
    }

    /** Whether a snapshot of the configuration is on its way. */
    boolean isFetching() {
        return fetches;
    }

    /** Takes what is next; false where it does not fit what came before, so that another session must begin. */
    boolean take(News message) throws MalformedMessage {
        if (message.number() != count + 1) {
            environment.log("news " + message.number() + " came after " + count);
            return false;
        }
        count++;
        if (message instanceof ConfigurationChange change) {
            return changed(change);
        } else if (message instanceof ConfigurationOffer) {
            fetches = true;
            fetch();
        } else if (message instanceof MembersChange change) {
            return changed(change);
        } else if (message instanceof InstancesNews told) {
            reader.instances(told.instances());
        }
        return true;
    }

    private boolean changed(ConfigurationChange change) throws MalformedMessage {
        switch (configuration.change(change)) {
            case TAKEN -> reader.configuration(configuration.tree().toMap());
            case REFUSED -> {
                environment.log("the change to configuration " + change.revision() + " does not fit "
                        + configuration.revision());
                return false;
            }
            default -> {}
        }
        return true;
    }

    private boolean changed(MembersChange change) {
        if (!members.change(change)) {
            environment.log("the members told have another digest");
            return false;
        }
        reader.members(members.all());
        return true;
    }

    /** Asks for the next part of a snapshot; one at a time, so that other messages go between them. */
    private void fetch() {
        fetchedAt = environment.now();
        toControlNode.accept(
                new SnapshotRequest(life, session, configuration.snapshotDigest(), configuration.snapshotOffset()));
    }

    /** Asks once more for what has not come within this time: the question or the answer is lost. */
    void fetchAgainAfter(long nanos) {
        if (fetches && environment.now() - fetchedAt >= nanos) {
            fetch();
        }
    }

    /** Takes a part of a snapshot that was asked for. */
    void take(SnapshotPart part) throws MalformedMessage {
        int before = configuration.snapshotOffset();
        if (configuration.part(part)) {
            fetches = false;
            reader.configuration(configuration.tree().toMap());
        } else if (configuration.snapshotOffset() != before) {
            fetch();
        }
    }
}
