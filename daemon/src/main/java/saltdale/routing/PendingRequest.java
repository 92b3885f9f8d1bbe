package saltdale.routing;

import java.util.ArrayList;
import java.util.List;
import saltdale.model.Attempt;
import saltdale.model.Request;
import saltdale.protocol.Head;
import saltdale.serving.ServerConnection;
import saltdale.transport.Timer;

/** A request that has not finished: its head and body as received, its attempts, and the client that waits. */
final class PendingRequest {
    final String id;
    final Request request;
    final Head head;
    final byte[] body;
    /** The attempts in the order in which they were made, as in {@link Request#attempts}. */
    final List<OutgoingAttempt> attempts = new ArrayList<>(2);
    /** Null once the client has been answered or has disconnected. */
    ServerConnection client;

    Timer deadlineTimer;

    PendingRequest(String id, Request request, Head head, byte[] body, ServerConnection client) {
        this.id = id;
        this.request = request;
        this.head = head;
        this.body = body;
        this.client = client;
    }

    /** Returns the unfinished attempt at this runner, or null if there is none. */
    OutgoingAttempt activeAttemptAt(RunnerEndpoint endpoint) {
        for (OutgoingAttempt outgoing : attempts) {
            if (outgoing.endpoint == endpoint && !outgoing.isFinished()) {
                return outgoing;
            }
        }
        return null;
    }

    /** Returns the outgoing side of an attempt of this request. */
    OutgoingAttempt outgoingOf(Attempt attempt) {
        return attempts.get(request.attempts.indexOf(attempt));
    }
}
