package saltdale.routing;

import java.util.ArrayList;
import java.util.List;
import saltdale.model.Attempt;
import saltdale.model.Request;
import saltdale.protocol.Head;
import saltdale.serving.ServerConnection;
import saltdale.transport.Timer;

/** An assignment that is held, with the bytes that came and the client that waits. */
final class Held {
    final String id;
    final Request assignment;
    final Head head;
    final byte[] body;
    final List<Sending> sendings = new ArrayList<>(2);
    /** Null once it has been answered or is gone. */
    ServerConnection client;

    Timer patience;

    Held(String id, Request assignment, Head head, byte[] body, ServerConnection client) {
        this.id = id;
        this.assignment = assignment;
        this.head = head;
        this.body = body;
        this.client = client;
    }

    /** The dispatch to this runner that is out; null where none is. */
    Sending outAt(Target target) {
        for (Sending sending : sendings) {
            if (sending.target == target && !sending.isOver()) {
                return sending;
            }
        }
        return null;
    }

    /** How this dispatch is on its way. */
    Sending of(Attempt dispatch) {
        return sendings.get(assignment.attempts.indexOf(dispatch));
    }
}
