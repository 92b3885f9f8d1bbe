package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Set;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.proxy.Attempt;
import saltdale.transport.Connection;
import saltdale.transport.Pool;

/** One attempt on its connection: what goes to the runner, and whether what comes back is its whole answer. */
final class UpstreamExchange implements Connection.Owner {
    interface Ended {
        void ended(UpstreamExchange exchange, Attempt.End end);
    }

    private static final Set<String> DROPPED =
            HttpWriter.and(HttpWriter.HOP, "x-saltdale-deadline-remaining", "x-saltdale-expected-runner");
    private static final Set<String> KEPT = Set.of("x-saltdale-attempt-id");
    /** Statuses that promise that nothing ran: only with the runner's word for it are they handed on as that. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int MOST_SURPLUS = 3; // answers to others before ours

    final Attempt attempt;
    private final Pool pool;
    private final Ended told;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private int surplus;
    private boolean over;
    Head head;
    byte[] body;

    UpstreamExchange(Attempt attempt, Pool pool, Ended told) {
        this.attempt = attempt;
        this.pool = pool;
        this.told = told;
    }

    /** False where there was no socket for it. */
    boolean begin(Head request, byte[] requestBody, long leftMillis) {
        connection = pool.take(this);
        if (connection == null) {
            return false;
        }
        connection.beginMessage();
        boolean bodied = requestBody.length > 0
                || !request.method().equals("GET") && !request.method().equals("HEAD");
        connection.send(
                ByteBuffer.wrap(HttpWriter.passedOn(
                        request,
                        DROPPED,
                        KEPT,
                        "X-Saltdale-Deadline-Remaining: " + leftMillis + "\r\nX-Saltdale-Expected-Runner: "
                                + attempt.instance + "\r\n"
                                + (bodied ? "Content-Length: " + requestBody.length + "\r\n" : ""))),
                ByteBuffer.wrap(requestBody));
        return true;
    }

    @Override
    public void received(ByteBuffer bytes) {
        while (!over) {
            parser.take(bytes);
            if (parser.bad()) {
                end(Attempt.End.BROKEN, false);
            } else if (!parser.whole()) {
                return;
            } else if (attempt.request.id.equals(parser.head().single("X-Saltdale-Attempt-Id"))
                    || turnedAway() != null) {
                whole(!bytes.hasRemaining());
            } else if (++surplus > MOST_SURPLUS || !parser.framed()) {
                end(Attempt.End.BROKEN, false);
            } else {
                parser.next(); // a late answer to another attempt: it belongs to nobody here
            }
        }
    }

    private void whole(boolean clean) {
        Head answer = parser.head();
        Attempt.End turned = turnedAway();
        boolean rests = clean && surplus == 0 && parser.framed() && answer.keepsAlive();
        boolean success = answer.status() >= 200 && answer.status() < 300;
        if (turned != null) {
            end(turned, rests);
        } else if (PROMISES.contains(answer.status())
                || !parser.framed()
                || answer.header("Content-Encoding") != null
                || success && answer.single("X-Saltdale-Runner-Seal") == null) {
            end(Attempt.End.BROKEN, false);
        } else {
            head = answer;
            body = parser.body();
            end(Attempt.End.ANSWERED, rests);
        }
    }

    /** The runner's word that it did not run it; null where it says no such thing. */
    private Attempt.End turnedAway() {
        Head answer = parser.head();
        String id = answer.single("X-Saltdale-Attempt-Id");
        if (id != null && !id.equals(attempt.request.id)) {
            return null;
        }
        return answer.status() == 421
                ? Attempt.End.MISDIRECTED
                : answer.header("X-Saltdale-Not-Executed") != null && answer.status() >= 400
                        ? Attempt.End.TURNED_AWAY
                        : null;
    }

    @Override
    public void ended(String cause) {
        if (cause.startsWith("not connected")) {
            end(Attempt.End.NOT_CONNECTED, false);
        } else {
            end(connection.reach().incomplete() ? Attempt.End.UNSENT : Attempt.End.BROKEN, false);
        }
    }

    /** Breaks it off; nothing more is told of it. */
    void abandon() {
        over = true;
        if (connection != null) {
            connection.close();
        }
    }

    private void end(Attempt.End how, boolean rests) {
        if (over) {
            return;
        }
        over = true;
        if (rests) {
            pool.rest(connection, keeps());
        } else {
            connection.close();
        }
        told.ended(this, how);
    }

    /** Less than the runner says that it keeps an idle connection, so that nothing is sent as it closes one. */
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
