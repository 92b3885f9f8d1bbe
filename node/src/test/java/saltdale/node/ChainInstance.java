package saltdale.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;

/** An instance of a simulated chain: it reads requests from byte pipes, runs them, and answers well or ill. */
final class ChainInstance {
    private final ChainModel model;
    private final String id;
    private int busy;

    ChainInstance(ChainModel model, String id) {
        this.model = model;
        this.id = id;
    }

    Side accept(ChainConnection connection) {
        return new Side(connection);
    }

    /** Its side of one connection. */
    final class Side {
        private final ChainConnection connection;
        private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
        private final boolean dropsWork = !model.happens(model.worksOn);
        private String late = ""; // a second answer, for the place where the next one is due
        private boolean over;
        private boolean working;

        Side(ChainConnection connection) {
            this.connection = connection;
        }

        boolean takesConnections() {
            return model.cluster.acceptsConnections(id);
        }

        void received(byte[] bytes) {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (!over && left.hasRemaining()) {
                parser.parse(left);
                if (parser.isMalformed()) {
                    model.fault("a request that cannot be read: " + parser.errorMessage());
                    return;
                }
                if (parser.isComplete()) {
                    Head head = parser.head();
                    byte[] body = parser.body();
                    parser.startNextMessage();
                    request(head, body);
                }
            }
        }

        /** The proxy has closed it. */
        void closed() {
            over = true;
            if (dropsWork) {
                done();
            }
        }

        void breakOff(boolean losesWhatCame) {
            if (!over) {
                over = true;
                connection.end(losesWhatCame);
            }
        }

        private void done() {
            if (working) {
                working = false;
                busy--;
            }
        }

        private void request(Head head, byte[] body) {
            String attemptId = head.uniqueHeader("X-Saltdale-Attempt-Id");
            if (!late.isEmpty()) {
                answer(late);
                late = "";
            }
            if (!takesConnections() || model.happens(model.resetsUnread)) {
                breakOff(true);
            } else if (!id.equals(head.uniqueHeader("X-Saltdale-Expected-Runner")) || model.happens(model.misdirects)) {
                refuse("421 Misdirected Request", "", attemptId);
            } else if (busy >= model.cluster.slots(id)) {
                model.overLimit++;
                refuse("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", attemptId);
            } else if (model.happens(model.turnsAway)) {
                refuse("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", attemptId);
            } else {
                run(head.path(), attemptId, body);
            }
        }

        private void refuse(String status, String more, String attemptId) {
            boolean bears = !model.happens(model.refusesWithoutId);
            answer(message(status, more, bears ? attemptId : null, ""));
        }

        private void run(String path, String attemptId, byte[] body) {
            busy++;
            working = true;
            model.ran(path, attemptId, body, id);
            long work = 10_000_000L + model.cluster.random().nextLong(150_000_000L);
            model.cluster.schedule(work, () -> {
                boolean still = working;
                done();
                if (still && !over) {
                    ranAnswer(path, attemptId);
                }
            });
        }

        private void ranAnswer(String path, String attemptId) {
            String good = message("200 OK", "X-Saltdale-Runner-Seal: s\r\n", attemptId, path);
            if (model.happens(model.silent)) {
                return;
            }
            if (model.happens(model.breaks)) {
                answer(good.substring(0, model.cluster.random().nextInt(good.length())));
                breakOff(model.happens(0.5));
            } else if (model.happens(model.lies)) { // it ran, and says what promises that it did not
                answer(message("503 Busy", "", attemptId, ""));
            } else if (model.happens(model.garbles)) {
                answer("rubbish\r\n\r\n" + good);
            } else if (model.happens(model.resetsAfter)) {
                answer(good);
                breakOff(model.happens(0.5));
            } else {
                answer(model.happens(0.05) ? "HTTP/1.1 100 Continue\r\n\r\n" + good : good);
                second(attemptId, good);
            }
        }

        /** A second answer: at once, some time later, or in the place of the next one. */
        private void second(String attemptId, String good) {
            if (!model.happens(model.answersTwice)) {
                return;
            }
            String surplus = switch (model.cluster.random().nextInt(4)) {
                case 0 -> good;
                case 1 -> message("421 Misdirected Request", "", null, "");
                case 2 -> message("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", null, "");
                default -> message("503 Busy", "X-Saltdale-Not-Executed: 1\r\n", attemptId, "");
            };
            switch (model.cluster.random().nextInt(3)) {
                case 0 -> answer(surplus);
                case 1 -> model.cluster.schedule(model.cluster.random().nextLong(300_000_000L), () -> answer(surplus));
                default -> late = surplus;
            }
        }

        private void answer(String text) {
            if (over) {
                return;
            }
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            int cut = bytes.length == 0 || model.happens(0.7)
                    ? 0
                    : model.cluster.random().nextInt(bytes.length);
            connection.answer(Arrays.copyOf(bytes, cut));
            connection.answer(Arrays.copyOfRange(bytes, cut, bytes.length));
        }
    }

    /** An answer; without an id where that is null. */
    private static String message(String status, String more, String attemptId, String body) {
        return "HTTP/1.1 " + status + "\r\n" + more
                + (attemptId == null ? "" : "X-Saltdale-Attempt-Id: " + attemptId + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
