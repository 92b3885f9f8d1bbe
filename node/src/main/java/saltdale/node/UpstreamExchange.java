package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Set;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.proxy.Attempt;
import saltdale.transport.Connection;
import saltdale.transport.SendProgress;

/**
 * One attempt on its connection: sends the request to the instance and checks that the received bytes are the complete
 * answer to this attempt.
 */
class UpstreamExchange implements Connection.Handler {
    /** Receives the result of an exchange. */
    interface OutcomeListener {
        /** The exchange has ended; not called after {@link UpstreamExchange#abandon}. */
        void exchangeEnded(UpstreamExchange exchange, Attempt.Outcome outcome);

        /**
         * Part of an answer has arrived. Returns whether the rest may be read now; if not, it is read after
         * {@link UpstreamExchange#resumeReading}.
         */
        default boolean mayReadOn(UpstreamExchange exchange) {
            return true;
        }
    }

    private static final Set<String> REMOVED_HEADERS = HttpWriter.union(
            HttpWriter.HOP_BY_HOP_HEADERS, "x-saltdale-deadline-remaining", "x-saltdale-expected-runner");
    private static final Set<String> ALWAYS_FORWARDED_HEADERS = Set.of("x-saltdale-attempt-id");
    private static final String ATTEMPT_ID_HEADER = "X-Saltdale-Attempt-Id";
    /**
     * Statuses that promise the client that the request was not executed. They are not forwarded as answers: the proxy
     * promises this only if the instance has stated that it did not execute the request.
     */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final int MAX_FOREIGN_ANSWERS = 3; // to other attempts, before the answer to this one

    final Attempt attempt;
    private final UpstreamConnections connections;
    private final OutcomeListener listener;
    private HttpParser parser;
    private UpstreamConnection connection;
    private boolean isHeadRequest; // the answer to a HEAD request has no body, whatever its Content-Length is
    private boolean bytesReceived;
    private int foreignAnswers;
    private boolean finished;
    Head answerHead;
    byte[] answerBody;

    UpstreamExchange(Attempt attempt, UpstreamConnections connections, OutcomeListener listener) {
        this.attempt = attempt;
        this.connections = connections;
        this.listener = listener;
    }

    /** Sends the request; returns false if no socket is available. */
    boolean start(Head request, byte[] requestBody, long remainingMillis) {
        connection = connections.acquire(attempt.request.id, this);
        if (connection == null) {
            return false;
        }
        isHeadRequest = request.method().equals("HEAD");
        // No answer to HEAD is kept beyond its head, and the length that it states has no bound.
        parser = new HttpParser(HttpParser.Kind.ANSWER, isHeadRequest ? discarded -> {} : null);
        boolean sendsLength = requestBody.length > 0 || !request.method().equals("GET") && !isHeadRequest;
        byte[] requestHead = HttpWriter.forwardedRequest(
                request,
                REMOVED_HEADERS,
                ALWAYS_FORWARDED_HEADERS,
                "X-Saltdale-Deadline-Remaining: " + remainingMillis + "\r\nX-Saltdale-Expected-Runner: "
                        + attempt.instanceId + "\r\n"
                        + (sendsLength ? "Content-Length: " + requestBody.length + "\r\n" : ""));
        connection.send(requestHead, requestBody);
        return true;
    }

    /** Returns how much of the request the kernel has accepted. */
    SendProgress sendProgress() {
        return connection.sendProgress();
    }

    @Override
    public void received(ByteBuffer bytes) {
        bytesReceived = true;
        while (!finished) {
            parser.parse(bytes);
            if (parser.isMalformed()) {
                finish(Attempt.Outcome.BROKEN, false);
            } else if (isHeadRequest && parser.head() != null && belongsToAttempt(parser.head())) {
                handleAnswer(false);
            } else if (!parser.isComplete()) {
                connection.setReadEnabled(listener.mayReadOn(this));
                return;
            } else if (belongsToAttempt(parser.head())) {
                handleAnswer(!bytes.hasRemaining());
            } else if (++foreignAnswers > MAX_FOREIGN_ANSWERS
                    || !parser.isBodyDelimited()
                    || isAmbiguousRefusal(parser.head())) {
                finish(Attempt.Outcome.BROKEN, false);
            } else {
                parser.startNextMessage(); // a late answer to another attempt; discarded
            }
        }
    }

    /** Returns how many bytes the answer takes, as far as that is known. */
    long answerBytesKnown() {
        return parser.bodyBytesKnown();
    }

    /** Reads the rest of the answer. */
    void resumeReading() {
        if (!finished) {
            connection.setReadEnabled(true);
        }
    }

    /**
     * Returns whether an answer belongs to this attempt, which it does if it carries the id of the attempt. A refusal
     * without an id is accepted only on a connection that carried no attempt before; on a reused connection it may be a
     * late answer to an earlier attempt.
     */
    boolean belongsToAttempt(Head answer) {
        return hasAttemptId(answer)
                || isRefusal(answer) && lacksAttemptId(answer) && !connection.isReused() && foreignAnswers == 0;
    }

    /**
     * Returns whether an answer is a refusal that may belong to this attempt or to an earlier one, and the request is
     * idempotent. Such a request is retried elsewhere immediately; for any other request the exchange waits, since its
     * answer may still arrive.
     */
    private boolean isAmbiguousRefusal(Head answer) {
        return attempt.request.route.idempotent() && isRefusal(answer) && lacksAttemptId(answer);
    }

    private boolean hasAttemptId(Head answer) {
        return attempt.request.id.equals(answer.uniqueHeader(ATTEMPT_ID_HEADER));
    }

    final boolean lacksAttemptId(Head answer) {
        return answer.header(ATTEMPT_ID_HEADER) == null;
    }

    final boolean isRefusal(Head answer) {
        return refusal(answer) != null;
    }

    /** Handles the answer to this attempt; {@code isLast} if no bytes were received after it. */
    private void handleAnswer(boolean isLast) {
        Head answer = parser.head();
        Attempt.Outcome refusal = refusal(answer);
        boolean reusable = isLast
                && foreignAnswers == 0
                && parser.isBodyDelimited()
                && answer.keepsAlive()
                && connection.sendProgress() == SendProgress.WRITTEN;
        if (refusal != null) {
            finish(refusal, reusable && !lacksAttemptId(answer));
        } else if (isForwardable(answer)) {
            answerHead = answer;
            answerBody = isHeadRequest ? EMPTY_BODY : parser.body();
            finish(Attempt.Outcome.ANSWERED, reusable);
        } else {
            finish(Attempt.Outcome.BROKEN, false);
        }
    }

    /** Returns whether the answer may be forwarded to the client as the complete answer of the instance. */
    private boolean isForwardable(Head answer) {
        boolean success = answer.status() >= 200 && answer.status() < 300;
        return !NOT_EXECUTED_STATUSES.contains(answer.status())
                && (parser.isBodyDelimited() || isHeadRequest)
                && answer.header("Content-Encoding") == null
                && (!success || answer.uniqueHeader("X-Saltdale-Runner-Seal") != null);
    }

    /** Returns the outcome if the instance states that it did not execute the request, or null otherwise. */
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
        if (!isUnsent()) {
            finish(Attempt.Outcome.BROKEN, false);
        } else {
            boolean connected = !cause.startsWith("not connected");
            finish(connected ? Attempt.Outcome.UNSENT : Attempt.Outcome.NOT_CONNECTED, false);
        }
    }

    /**
     * Returns whether the instance cannot have begun to execute the request, because no byte of it was sent. An
     * instance may begin before it has read the whole request.
     */
    boolean isUnsent() {
        return connection.sendProgress() == SendProgress.UNSENT && !bytesReceived;
    }

    /**
     * Closes the connection without reporting an outcome. Returns whether the instance cannot have begun to execute
     * the request and never will.
     */
    boolean abandon() {
        finished = true;
        boolean unsent = isUnsent();
        connection.close();
        return unsent;
    }

    private void finish(Attempt.Outcome outcome, boolean reusable) {
        if (finished) {
            return;
        }
        finished = true;
        if (reusable) {
            connections.release(connection, reuseTimeLimit());
        } else {
            connection.close();
        }
        listener.exchangeEnded(this, outcome);
    }

    /**
     * Returns how long the connection may be kept for reuse. This is less than the idle timeout that the instance
     * announces, so that no request is sent while the instance closes the connection.
     */
    private Duration reuseTimeLimit() {
        String keepAlive = parser.head().header("Keep-Alive");
        int start = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (start < 0) {
            return Duration.ofSeconds(2);
        }
        int end = start + 8;
        while (end < keepAlive.length() && end < start + 14 && Character.isDigit(keepAlive.charAt(end))) {
            end++;
        }
        return end == start + 8
                ? Duration.ofSeconds(2)
                : Duration.ofMillis(Long.parseLong(keepAlive.substring(start + 8, end)) * 1000 - 500);
    }
}
