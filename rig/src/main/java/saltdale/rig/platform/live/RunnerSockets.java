package saltdale.rig.platform.live;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.protocol.Head;
import saltdale.rig.platform.Instance;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Platform;
import saltdale.rig.standin.Exchange;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Listener;
import saltdale.transport.Timer;

/** The sockets of the runners, and the HTTP they serve; used on the loop thread. */
final class RunnerSockets implements Platform.Sockets {
    private static final Duration EXTRA_ANSWER_DELAY = Duration.ofMillis(5);
    private static final byte[] MALFORMED_ANSWER = "\u0001\u0002 no answer\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final class RunnerSocket {
        final Listener listener;
        final Set<RunnerConnection> openConnections = new HashSet<>();

        RunnerSocket(Listener listener) {
            this.listener = listener;
        }
    }

    private final LoopThread loopThread;
    private final Origin origin;
    private final Judge judge;
    private final RunnerFaults faults;
    private final SplittableRandom random;
    private final Map<Instance, RunnerSocket> runnerSockets = new HashMap<>();
    private long runCount;

    RunnerSockets(LoopThread loopThread, Origin origin, Judge judge, RunnerFaults faults, long seed) {
        this.loopThread = loopThread;
        this.origin = origin;
        this.judge = judge;
        this.faults = faults;
        random = new SplittableRandom(seed);
    }

    @Override
    public void listen(Instance instance) {
        try {
            runnerSockets.put(
                    instance,
                    new RunnerSocket(new Listener(
                            loopThread.loop,
                            loopThread.sockets,
                            Address.parse(instance.address),
                            (connection, full) -> runnerSockets
                                    .get(instance)
                                    .openConnections
                                    .add(new RunnerConnection(connection, instance)))));
        } catch (IOException e) {
            throw new UncheckedIOException("a runner can't listen on " + instance.address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void stopAccepting(Instance instance) {
        closeListener(runnerSockets.get(instance));
        for (RunnerConnection each : List.copyOf(runnerSockets.get(instance).openConnections)) {
            if (!each.isWorking()) {
                each.drop(false);
            }
        }
    }

    @Override
    public void crash(Instance instance) {
        RunnerSocket runnerSocket = runnerSockets.remove(instance);
        if (runnerSocket != null) {
            closeListener(runnerSocket);
            List.copyOf(runnerSocket.openConnections).forEach(each -> each.drop(true));
        }
    }

    private static void closeListener(RunnerSocket runnerSocket) {
        try {
            runnerSocket.listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A connection to a runner. */
    private final class RunnerConnection extends Exchange {
        private final Instance instance;
        private Timer workTimer;

        RunnerConnection(Connection connection, Instance instance) {
            super(connection, origin);
            this.instance = instance;
        }

        boolean isWorking() {
            return workTimer != null;
        }

        void drop(boolean reset) {
            forget();
            if (reset) {
                connection.reset();
            } else {
                connection.close();
            }
            stopWork();
        }

        private void forget() {
            RunnerSocket runnerSocket = runnerSockets.get(instance);
            if (runnerSocket != null) {
                runnerSocket.openConnections.remove(this);
            }
        }

        private void stopWork() {
            if (workTimer != null) {
                workTimer.cancel();
                workTimer = null;
                instance.requestFinished();
            }
        }

        /** The runner abandons a request once its connection closes. */
        @Override
        public void disconnected(String cause) {
            forget();
            stopWork();
        }

        @Override
        protected void onMalformedRequest() {
            drop(true);
        }

        @Override
        protected void onRequest(Head head, byte[] body, Duration first) {
            Duration now = origin.now();
            String id = head.uniqueHeader("X-Saltdale-Attempt-Id");
            Duration remaining = parseMillis(head.header("X-Saltdale-Deadline-Remaining"));
            Instance.Admission admission = instance.admit(id, head.header("X-Saltdale-Expected-Runner"), remaining);
            if (!admission.runs()) {
                if (admission.full()) {
                    judge.recordRejectedAsFull(now, instance.service.name());
                }
                sendAnswer(answer(admission.status(), headers(id) + "X-Saltdale-Not-Executed: 1\r\n", ""));
                return;
            }
            String seal = Long.toHexString(++runCount) + "." + instance.identifier + "."
                    + Integer.toHexString(random.nextInt());
            Duration workTime = Duration.ofNanos(
                    (long) (instance.service.work().toNanos() * instance.workTimeFactor * random.nextDouble(0.5, 1.5)));
            boolean inTime = remaining == null || workTime.compareTo(remaining) < 0;
            RunnerFaults.Kind fault = faults.draw();
            judge.recordRun(
                    now,
                    id,
                    instance.service.name(),
                    seal,
                    head.method() + " " + head.target() + " " + new String(body, StandardCharsets.UTF_8),
                    inTime);
            if (fault != RunnerFaults.Kind.NONE && fault != RunnerFaults.Kind.EXTRA) {
                judge.expectBrokenAnswer(id);
            }
            workTimer = loopThread.loop.schedule(inTime ? workTime : remaining, () -> {
                workTimer = null;
                if (inTime) {
                    byte[] answer = answer(
                            200,
                            headers(id) + "X-Saltdale-Runner-Seal: " + seal + "\r\n",
                            new String(Judge.bodyFor(seal), StandardCharsets.US_ASCII));
                    sendAnswer(answer, fault);
                } else {
                    sendAnswer(answer(504, headers(id), "")); // the judge has counted it as run
                }
                instance.requestFinished();
            });
        }

        private void sendAnswer(byte[] answer, RunnerFaults.Kind fault) {
            switch (fault) {
                case LOST -> closeGracefully();
                case GARBLED -> {
                    connection.send(ByteBuffer.wrap(MALFORMED_ANSWER));
                    closeGracefully();
                }
                case CUT -> {
                    connection.send(ByteBuffer.wrap(answer, 0, answer.length / 2));
                    closeGracefully();
                }
                case EXTRA -> {
                    sendAnswer(answer);
                    loopThread.loop.schedule(EXTRA_ANSWER_DELAY, () -> connection.send(ByteBuffer.wrap(answer)));
                }
                default -> sendAnswer(answer);
            }
        }

        private void sendAnswer(byte[] answer) {
            connection.send(ByteBuffer.wrap(answer));
            responseSent();
            if (instance.isLeaving()) {
                closeGracefully();
            }
        }

        private void closeGracefully() {
            connection.closeGracefully();
            forget();
        }

        private String headers(String id) {
            return (id == null ? "" : "X-Saltdale-Attempt-Id: " + id + "\r\n")
                    + (instance.isLeaving() ? "Connection: close\r\n" : "");
        }
    }

    /** Parses a header value of whole milliseconds; null if it is absent or malformed. */
    static Duration parseMillis(String text) {
        return text != null && text.matches("\\d{1,9}") ? Duration.ofMillis(Long.parseLong(text)) : null;
    }
}
