package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Set;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.proxy.Attempt;
import saltdale.transport.Connection;

/** One attempt on its connection: what goes to the instance, and whether what comes back is its whole answer. */
class UpstreamExchange implements Connection.Handler {
    interface Ended {
        void ended(UpstreamExchange exchange, Attempt.Outcome end);
    }

    private static final Set<String> DROPPED = HttpWriter.union(
            HttpWriter.HOP_BY_HOP_HEADERS, "x-saltdale-deadline-remaining", "x-saltdale-expected-runner");
    private static final Set<String> KEPT = Set.of("x-saltdale-attempt-id");
    private static final String ATTEMPT_ID = "X-Saltdale-Attempt-Id";
    /** Statuses that promise that nothing ran: only with the instance's word for it are they handed on as that. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final byte[] NO_BODY = new byte[0];
    private static final int MOST_SURPLUS = 3; // answers to others before ours

    final Attempt attempt;
    private final UpstreamConnections connections;
    private final Ended told;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private UpstreamConnection connection;
    private boolean withoutBody; // the answer to a HEAD request has none, whatever its length says
    private boolean heard; // something came back
    private int surplus;
    private boolean over;
    Head head;
    byte[] body;

    UpstreamExchange(Attempt attempt, UpstreamConnections connections, Ended told) {
        this.attempt = attempt;
        this.connections = connections;
        this.told = told;
    }

    /** False where there was no socket for it. */
    boolean begin(Head request, byte[] requestBody, long leftMillis) {
        connection = connections.take(attempt.request.id, this);
        if (connection == null) {
            return false;
        }
        withoutBody = request.method().equals("HEAD");
        boolean bodied = requestBody.length > 0 || !request.method().equals("GET") && !withoutBody;
        byte[] head = HttpWriter.forwardedRequest(
                request,
                DROPPED,
                KEPT,
                "X-Saltdale-Deadline-Remaining: " + leftMillis + "\r\nX-Saltdale-Expected-Runner: " + attempt.instanceId
                        + "\r\n" + (bodied ? "Content-Length: " + requestBody.length + "\r\n" : ""));
        connection.send(head, requestBody);
        return true;
    }

    @Override
    public void received(ByteBuffer bytes) {
        heard = true;
        while (!over) {
            parser.parse(bytes);
            if (parser.isMalformed()) {
                end(Attempt.Outcome.BROKEN, false);
            } else if (withoutBody && parser.head() != null && bearsOurId(parser.head())) {
                judge(false);
            } else if (!parser.isComplete()) {
                return;
            } else if (isOurs(parser.head())) {
                judge(!bytes.hasRemaining());
            } else if (++surplus > MOST_SURPLUS || !parser.isBodyDelimited() || isUnclear(parser.head())) {
                end(Attempt.Outcome.BROKEN, false);
            } else {
                parser.startNextMessage(); // a late answer to another attempt: it belongs to nobody here
            }
        }
    }

    /**
     * Whether this is the answer to this attempt: it bears its id. A refusal without an id is taken for it only on a
     * connection that carried no attempt before: on another it may be a late one to an earlier attempt.
     */
    boolean isOurs(Head answer) {
        return bearsOurId(answer) || isRefusal(answer) && bearsNoId(answer) && !connection.isReused() && surplus == 0;
    }

    /**
     * A refusal that may be ours or a late one. A request that may be repeated goes elsewhere at once; the answer to
     * another may still come.
     */
    private boolean isUnclear(Head answer) {
        return attempt.request.route.idempotent() && isRefusal(answer) && bearsNoId(answer);
    }

    private boolean bearsOurId(Head answer) {
        return attempt.request.id.equals(answer.uniqueHeader(ATTEMPT_ID));
    }

    final boolean bearsNoId(Head answer) {
        return answer.header(ATTEMPT_ID) == null;
    }

    final boolean isRefusal(Head answer) {
        return refusal(answer) != null;
    }

    /** The answer to this attempt is there; {@code clean}: and nothing after it. */
    private void judge(boolean clean) {
        Head answer = parser.head();
        Attempt.Outcome refusal = refusal(answer);
        boolean rests =
                clean && surplus == 0 && parser.isBodyDelimited() && answer.keepsAlive() && connection.isWritten();
        if (refusal != null) {
            end(refusal, rests && !bearsNoId(answer));
        } else if (isAnswer(answer)) {
            head = answer;
            body = withoutBody ? NO_BODY : parser.body();
            end(Attempt.Outcome.ANSWERED, rests);
        } else {
            end(Attempt.Outcome.BROKEN, false);
        }
    }

    /** Whether it may be handed to the client as the instance's whole answer. */
    private boolean isAnswer(Head answer) {
        boolean success = answer.status() >= 200 && answer.status() < 300;
        return !PROMISES.contains(answer.status())
                && (parser.isBodyDelimited() || withoutBody)
                && answer.header("Content-Encoding") == null
                && (!success || answer.uniqueHeader("X-Saltdale-Runner-Seal") != null);
    }

    /** How the instance says that it did not run the request; null where it says no such thing. */
    private static Attempt.Outcome refusal(Head answer) {
        if (answer.status() == 421) {
            return Attempt.Outcome.MISDIRECTED;
        }
        return answer.header("X-Saltdale-Not-Executed") != null && answer.status() >= 400
                ? Attempt.Outcome.TURNED_AWAY
                : null;
    }

    @Override
    public void disconnected(String cause) {
        if (cause.startsWith("not connected")) {
            end(Attempt.Outcome.NOT_CONNECTED, false);
        } else {
            end(isUnsent() ? Attempt.Outcome.UNSENT : Attempt.Outcome.BROKEN, false);
        }
    }

    /** Whether the instance cannot have read the whole request: its last byte was never sent, and nothing came back. */
    boolean isUnsent() {
        return !connection.isWritten() && !heard;
    }

    /** Breaks it off, and nothing more is told of it; true where the instance cannot have read the whole request. */
    boolean abandon() {
        over = true;
        boolean unsent = isUnsent();
        connection.close();
        return unsent;
    }

    private void end(Attempt.Outcome how, boolean rests) {
        if (over) {
            return;
        }
        over = true;
        if (rests) {
            connections.rest(connection, keeps());
        } else {
            connection.close();
        }
        told.ended(this, how);
    }

    /** Less than the instance says that it keeps an idle connection, so that nothing is sent as it closes one. */
    private Duration keeps() {
        String said = parser.head().header("Keep-Alive");
        int at = said == null ? -1 : said.indexOf("timeout=");
        if (at < 0) {
            return Duration.ofSeconds(2);
        }
        int to = at + 8;
        while (to < said.length() && to < at + 14 && Character.isDigit(said.charAt(to))) {
            to++;
        }
        return to == at + 8
                ? Duration.ofSeconds(2)
                : Duration.ofMillis(Long.parseLong(said.substring(at + 8, to)) * 1000 - 500);
    }
}
