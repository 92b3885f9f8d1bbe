package saltdale.rig.platform.live;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.protocol.Head;
import saltdale.rig.platform.Clock;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Instance;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Platform;
import saltdale.rig.platform.Route;
import saltdale.rig.simulate.EventQueue;
import saltdale.rig.standin.Exchange;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Listener;

/** Tests the runners and the operator on real sockets, with the starts of runners in simulated time. */
@Timeout(20)
class LiveTest {
    private final Deployment deployment = Deployment.small(91, 1, 3);
    private final Judge judge = new Judge(deployment.bounds());
    private final Route route = deployment.routes().get(2); // to press-1
    private final Origin origin = new Origin();
    private final EventQueue eventQueue = new EventQueue();
    private LoopThread loopThread;
    private Platform platform;
    private String identifier;
    private String address;

    @BeforeEach
    void startLoop() throws IOException {
        loopThread = new LoopThread("test");
        loopThread.start();
    }

    @AfterEach
    void stopLoop() {
        if (platform != null) {
            // The runner's address is free for the next test after another pass of the loop.
            CompletableFuture<Void> nextPass = new CompletableFuture<>();
            loopThread.runAndWait(() -> {
                platform.crash("w-north", Duration.ZERO);
                loopThread.loop.defer(() -> nextPass.complete(null));
            });
            nextPass.orTimeout(10, TimeUnit.SECONDS).join();
        }
        loopThread.close();
    }

    private void startRunner(RunnerFaults.Kind fault) {
        RunnerFaults faults = new RunnerFaults(fault == null ? Map.of() : Map.of(fault, 1.0), 1);
        faults.setEnabled(true);
        loopThread.runAndWait(() -> {
            platform = new Platform(
                    deployment,
                    new Clock() {
                        @Override
                        public Duration now() {
                            return eventQueue.now();
                        }

                        @Override
                        public void schedule(Duration delay, Runnable action) {
                            eventQueue.scheduleAfter(delay, action);
                        }
                    },
                    new RunnerSockets(loopThread, origin, judge, faults, 1),
                    1);
            judge.recordChangeSent(deployment.routes());
            ObjectNode beginReply =
                    platform.begin(null, "press-1", "w-north", "n").body();
            identifier = beginReply.path("identifier").asText();
            address = beginReply.path("address").asText();
            eventQueue.runUntil(Duration.ofSeconds(2));
        });
    }

    private CompletableFuture<HttpCall.Answer> call(String id, String extraHeaders) {
        CompletableFuture<HttpCall.Answer> answer = new CompletableFuture<>();
        loopThread.runAndWait(() -> {
            judge.recordTrySent(origin.now(), id, route, "GET /press1/x ", "p");
            HttpCall.send(
                    loopThread,
                    Address.parse(address),
                    "GET",
                    "/press1/x",
                    "X-Saltdale-Attempt-Id: " + id + "\r\n" + extraHeaders,
                    new byte[0],
                    Duration.ofSeconds(5),
                    answer::complete);
        });
        return answer.orTimeout(10, TimeUnit.SECONDS);
    }

    @Test
    void runnerRejectsExcessMisdirectedAndExpiredRequests() {
        startRunner(null);
        Instance instance = platform.liveInstances().get(0);
        loopThread.runAndWait(() -> instance.admit("b", null, null));
        HttpCall.Answer full = call("a", "").join();
        assertThat(full.status(), is(503));
        assertThat(full.head().header("X-Saltdale-Not-Executed"), notNullValue());
        loopThread.runAndWait(instance::requestFinished);
        HttpCall.Answer whole =
                call("a", "X-Saltdale-Expected-Runner: " + identifier + "\r\n").join();
        assertThat(whole.status(), is(200));
        assertThat(whole.head().header("X-Saltdale-Attempt-Id"), equalTo("a"));
        String seal = whole.head().header("X-Saltdale-Runner-Seal");
        assertThat(whole.body(), equalTo(Judge.bodyFor(seal)));
        assertThat(call("c", "X-Saltdale-Expected-Runner: i-other\r\n").join().status(), is(421));
        assertThat(call("d", "X-Saltdale-Deadline-Remaining: 1\r\n").join().status(), is(504));
        loopThread.runAndWait(() -> {
            judge.recordAnswer(origin.now(), "a", 200, seal, "a", whole.body());
            platform.stop(null, identifier);
        });
        assertThat(judge.breachMessages().toString(), judge.breachCount(), is(0));
        assertThat(call("e", "").join(), nullValue());
    }

    @ParameterizedTest
    @EnumSource(
            value = RunnerFaults.Kind.class,
            names = {"LOST", "GARBLED", "CUT"})
    void faultyAnswerIsNoAnswer(RunnerFaults.Kind kind) {
        startRunner(kind);
        assertThat(call("a", "").join(), nullValue());
        loopThread.runAndWait(
                () -> judge.recordMalformedAnswer(origin.now(), "a")); // no breach, since the runner broke it off
        assertThat(judge.breachMessages().toString(), judge.breachCount(), is(0));
    }

    @Test
    void operatorFollowsRedirectsAndTriesTheNextNodeAfterAFailure() {
        List<String> calls = new ArrayList<>();
        List<Machine> controlNodes = deployment.controlNodes();
        String last = controlNodes.get(2).at(Machine.CONTROL_PORT);
        startControlNode(controlNodes.get(0), calls, 503, "");
        startControlNode(controlNodes.get(1), calls, 307, "Location: http://" + last + "/elsewhere\r\n");
        startControlNode(controlNodes.get(2), calls, 200, "");
        CompletableFuture<HttpCall.Answer> answer = new CompletableFuture<>();
        loopThread.runAndWait(() ->
                new Operator(loopThread, deployment).change("Replace", 0, deployment.replacement(1), answer::complete));
        assertThat(answer.orTimeout(10, TimeUnit.SECONDS).join().status(), is(200));
        loopThread.runAndWait(() -> {}); // waits until the loop has recorded its last call
        assertThat(
                calls,
                equalTo(List.of("503 /Configuration.Replace 0", "307 /Configuration.Replace 0", "200 /elsewhere 0")));
    }

    private void startControlNode(Machine controlNode, List<String> calls, int status, String headers) {
        loopThread.runAndWait(() -> {
            try {
                new Listener(
                        loopThread.loop,
                        loopThread.sockets,
                        Address.parse(controlNode.at(Machine.CONTROL_PORT)),
                        (connection, full) -> new ControlNodeConnection(connection, calls, status, headers));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private final class ControlNodeConnection extends Exchange {
        private final List<String> calls;
        private final int status;
        private final String headers;

        ControlNodeConnection(Connection connection, List<String> calls, int status, String headers) {
            super(connection, origin);
            this.calls = calls;
            this.status = status;
            this.headers = headers;
        }

        @Override
        protected void onRequest(Head head, byte[] body, Duration first) {
            calls.add(status + " " + head.target() + " " + head.header("X-Saltdale-Based-On-Version"));
            connection.send(ByteBuffer.wrap(answer(status, headers, "")));
            responseSent();
        }

        @Override
        public void disconnected(String cause) {
            // The request has been answered.
        }
    }

    @Test
    void configurationReadBackMayDifferInOrderOnly() {
        ObjectNode sent = deployment.configuration(3, deployment.amendedRoutes());
        ObjectNode read = deployment.configuration(3, deployment.amendedRoutes());
        read.withArray("/routes").add(read.withArray("/routes").remove(0));
        assertThat(EndToEndRun.difference(sent, read), nullValue());
        read.withArray("/routes").remove(0);
        assertThat(EndToEndRun.difference(sent, read), containsString("has other routes"));
        assertThat(
                EndToEndRun.difference(sent, deployment.configuration(4, deployment.amendedRoutes())),
                containsString("revision"));
        assertThat(
                EndToEndRun.difference(deployment.replacement(3), deployment.configuration(3, List.of())),
                containsString("routes"));
        assertThat(
                EndToEndRun.difference(deployment.configuration(3, List.of()), deployment.replacement(3)),
                containsString("more routes"));
    }
}
