package saltdale.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;

/** A simulated instance: it reads requests from its connections, executes them, and answers correctly or not. */
final class SimulatedInstance {
    private final EndToEndModel model;
    private final String id;
    private int usedSlots;

    SimulatedInstance(EndToEndModel model, String id) {
        this.model = model;
        this.id = id;
    }

    /** Accepts a connection; returns the side of the instance. */
    InstanceSide accept(SimulatedConnection connection) {
        return new InstanceSide(connection);
    }

    /** The instance's side of one connection. */
    final class InstanceSide {
        private final SimulatedConnection connection;
        private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
        private final boolean stopsOnClose = !model.happens(model.continuesAfterCloseProbability);
        private String delayedAnswer = ""; // an extra answer, sent right before the next one
        private final boolean startsAtHead = model.happens(model.startsAtHeadProbability);
        private boolean headHandled; // of the request that is arriving
        private boolean executing;
        private boolean closed;

        InstanceSide(SimulatedConnection connection) {
            this.connection = connection;
        }

        boolean acceptsConnections() {
            return model.cluster.acceptsConnections(id);
        }

        void received(byte[] bytes) {
            ByteBuffer unparsed = ByteBuffer.wrap(bytes);
            while (!closed && unparsed.hasRemaining()) {
                parser.parse(unparsed);
                if (parser.isMalformed()) {
                    model.addViolation("malformed request: " + parser.errorMessage());
                    return;
                }
                handleParsed();
            }
        }

        /** Handles a request once its head has arrived, or only once its body has arrived too. */
        private void handleParsed() {
            Head head = parser.head();
            if (head != null && !headHandled && (startsAtHead || parser.isComplete())) {
                headHandled = true;
                handleRequest(head);
            }
            if (parser.isComplete()) {
                byte[] body = parser.body();
                parser.startNextMessage();
                headHandled = false;
                model.bodyReceived(head.path(), body);
            }
        }

        /** The proxy has closed the connection. */
        void closed() {
            closed = true;
            if (stopsOnClose) {
                finishExecution();
            }
        }

        void abort(boolean losesData) {
            if (!closed) {
                closed = true;
                connection.closeByInstance(losesData);
            }
        }

        private void finishExecution() {
            if (executing) {
                executing = false;
                usedSlots--;
            }
        }

        private void handleRequest(Head head) {
            String attemptId = head.uniqueHeader("X-Saltdale-Attempt-Id");
            if (!delayedAnswer.isEmpty()) {
                send(delayedAnswer);
                delayedAnswer = "";
            }
            if (!acceptsConnections() || model.happens(model.resetBeforeReadProbability)) {
                abort(true);
            } else if (!id.equals(head.uniqueHeader("X-Saltdale-Expected-Runner"))
                    || model.happens(model.misdirectProbability)) {
                refuse("421 Misdirected Request", "", attemptId);
            } else if (usedSlots >= model.cluster.slots(id)) {
                model.overLimitRequests++;
                refuse("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", attemptId);
            } else if (model.happens(model.overloadRefusalProbability)) {
                refuse("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", attemptId);
            } else {
                execute(head.path(), attemptId);
            }
        }

        private void refuse(String status, String extraHeaders, String attemptId) {
            boolean hasId = !model.happens(model.refusalWithoutIdProbability);
            send(message(status, extraHeaders, hasId ? attemptId : null, ""));
        }

        private void execute(String path, String attemptId) {
            usedSlots++;
            executing = true;
            model.executionStarted(path, attemptId, id);
            long durationNanos = 10_000_000L + model.cluster.random().nextLong(150_000_000L);
            model.cluster.schedule(durationNanos, () -> {
                boolean unfinished = executing;
                finishExecution();
                if (unfinished && !closed) {
                    sendAnswer(path, attemptId);
                }
            });
        }

        private void sendAnswer(String path, String attemptId) {
            String regular = message("200 OK", "X-Saltdale-Runner-Seal: s\r\n", attemptId, path);
            if (model.happens(model.noAnswerProbability)) {
                return;
            }
            if (model.happens(model.truncatedAnswerProbability)) {
                send(regular.substring(0, model.cluster.random().nextInt(regular.length())));
                abort(model.happens(0.5));
            } else if (model.happens(
                    model.falseRefusalProbability)) { // executed, but the status promises that it was not
                send(message("503 Busy", "", attemptId, ""));
            } else if (model.happens(model.malformedAnswerProbability)) {
                send("rubbish\r\n\r\n" + regular);
            } else if (model.happens(model.resetAfterAnswerProbability)) {
                send(regular);
                abort(model.happens(0.5));
            } else {
                send(model.happens(0.05) ? "HTTP/1.1 100 Continue\r\n\r\n" + regular : regular);
                sendExtraAnswer(attemptId, regular);
            }
        }

        /** Sends an extra answer: at once, some time later, or right before the next one. */
        private void sendExtraAnswer(String attemptId, String regular) {
            if (!model.happens(model.extraAnswerProbability)) {
                return;
            }
            String extra = switch (model.cluster.random().nextInt(4)) {
                case 0 -> regular;
                case 1 -> message("421 Misdirected Request", "", null, "");
                case 2 -> message("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", null, "");
                default -> message("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", attemptId, "");
            };
            switch (model.cluster.random().nextInt(3)) {
                case 0 -> send(extra);
                case 1 -> model.cluster.schedule(model.cluster.random().nextLong(300_000_000L), () -> send(extra));
                default -> delayedAnswer = extra;
            }
        }

        private void send(String text) {
            if (closed) {
                return;
            }
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            int splitAt = bytes.length == 0 || model.happens(0.7)
                    ? 0
                    : model.cluster.random().nextInt(bytes.length);
            connection.sendToProxy(Arrays.copyOf(bytes, splitAt));
            connection.sendToProxy(Arrays.copyOfRange(bytes, splitAt, bytes.length));
        }
    }

    /** Formats an answer, without an id if {@code attemptId} is null. */
    private static String message(String status, String extraHeaders, String attemptId, String body) {
        return "HTTP/1.1 " + status + "\r\n" + extraHeaders
                + (attemptId == null ? "" : "X-Saltdale-Attempt-Id: " + attemptId + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
