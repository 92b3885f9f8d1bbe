package saltdale.rig.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;

/** The stand-in runners and their list over real sockets, under single troubles. */
@Timeout(20)
class StandInFleetTest {
    private static final String DAY = """
            dispatchers = 1
            [fleet]
            runners = 2
            zones = ["a", "b"]
            [[workload]]
            name = "w"
            """;

    private final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> disturbances = new LinkedBlockingQueue<>();
    private LoopThread loopThread;
    private LoopbackAddresses addresses;
    private Socket jobSocket;
    private ServerSocket dispatcher;

    /** Starts a fleet with this trouble from the start, and a dispatcher that records the reports it receives. */
    private void fleet(String kind, String extraLines) throws IOException {
        fleet(kind, "1h", extraLines);
    }

    private void fleet(String kind, String length, String extraLines) throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            addresses = new LoopbackAddresses(free.getLocalPort());
        }
        String text = kind == null
                ? DAY
                : DAY + "[[trouble]]\nkind = \"" + kind + "\"\nlength = \"" + length + "\"\nrunners = [0]\n"
                        + extraLines;
        Scenario day = new Scenario(TomlTable.of("day", text));
        loopThread = new LoopThread("test");
        Origin origin = new Origin();
        RunnerListServer list = new RunnerListServer(loopThread, day, addresses, origin, EventObserver.NONE);
        StandInFleet fleet = new StandInFleet(loopThread, day, addresses, origin, recordingDisturbances(), list, 1);
        loopThread.start();
        InetSocketAddress at = addresses.dispatcher(0);
        dispatcher = new ServerSocket(at.getPort(), 50, at.getAddress());
        Thread thread = new Thread(this::receiveReports);
        thread.setDaemon(true);
        thread.start();
        loopThread.runAndWait(() -> fleet.begin(origin.now()));
        // Actions at the start of the day are queued in the loop before this timer, and have taken effect (with their
        // sockets closed) two turns of the loop after it.
        CompletableFuture<Void> begun = new CompletableFuture<>();
        loopThread.runAndWait(() -> loopThread.loop.schedule(Duration.ofMillis(20), () -> begun.complete(null)));
        begun.orTimeout(10, TimeUnit.SECONDS).join();
        for (int i = 0; i < 4; i++) {
            loopThread.runAndWait(() -> {});
        }
    }

    private EventObserver recordingDisturbances() {
        return new EventObserver() {
            @Override
            public void linkChanged(Duration at, int runner, int dispatcher, boolean free) {
                disturbances.add(runner + " by " + dispatcher + (free ? " free" : " disturbed"));
            }
        };
    }

    private void receiveReports() {
        try {
            while (true) {
                Socket from = dispatcher.accept();
                Thread thread = new Thread(() -> {
                    try {
                        while (true) {
                            reports.add(read(from.getInputStream()));
                            from.getOutputStream()
                                    .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                        }
                    } catch (IOException e) {
                        // the test is over
                    }
                });
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    /** Reads one message: its head and a body of Content-Length bytes. */
    private static String read(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        int left = -1;
        while (left != 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("ended after: " + all);
            }
            all.write(b);
            left--;
            String text = all.toString(StandardCharsets.US_ASCII);
            if (left < 0 && text.endsWith("\r\n\r\n")) {
                int at = text.indexOf("Content-Length: ");
                left = at < 0 ? 0 : Integer.parseInt(text.substring(at + 16, text.indexOf("\r\n", at)));
            }
        }
        return all.toString(StandardCharsets.UTF_8);
    }

    private Socket send(int runner, String request) throws IOException {
        jobSocket = new Socket();
        jobSocket.connect(addresses.runner(runner, 0), 1000);
        jobSocket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return jobSocket;
    }

    private static String job(String id) {
        return "POST /w/7 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRig-Work-Us: 2000\r\n"
                + "Content-Length: 0\r\n\r\n";
    }

    /** The states reported for a job, up to the one that ends it. */
    private List<String> reportedStates() throws InterruptedException {
        List<String> states = new ArrayList<>();
        for (String each = ""; !each.contains("done"); ) {
            each = reports.poll(10, TimeUnit.SECONDS);
            states.add(each.replaceAll("(?s).*\"state\":\"(\\w+)\".*", "$1"));
        }
        return states;
    }

    @AfterEach
    void end() throws IOException {
        if (jobSocket != null) {
            jobSocket.close();
        }
        dispatcher.close();
        loopThread.close();
    }

    @Test
    void acceptsAJobAndReportsItsStartAndEnd() throws Exception {
        fleet(null, "");
        assertTrue(read(send(0, job("a")).getInputStream()).startsWith("HTTP/1.1 202"));
        assertEquals(List.of("started", "done"), reportedStates());
    }

    @Test
    void rejectsARequestWithoutARequestId() throws Exception {
        fleet(null, "");
        assertTrue(
                read(send(0, "POST /w/7 HTTP/1.1\r\nContent-Length: 0\r\n\r\n").getInputStream())
                        .startsWith("HTTP/1.1 404"));
        assertTrue(read(send(0, "GET /metrics/load HTTP/1.1\r\n\r\n").getInputStream())
                .contains("\"depth\":0"));
    }

    @Test
    void truncatesAResponseAtTheGivenByte() throws Exception {
        fleet("cut-answers", "size = 11");
        assertEquals(
                "HTTP/1.1 20",
                new String(send(0, job("a")).getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
    }

    @Test
    void sendsAResponseByteByByteUntilComplete() throws Exception {
        fleet("drip-answers", "size = 3");
        long began = System.nanoTime();
        String answer = read(send(0, job("a")).getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 202"), answer);
        assertTrue(System.nanoTime() - began >= (answer.length() - 1) * 3_000_000L * 9 / 10);
    }

    @Test
    void sendsReportsBeforeTheResponse() throws Exception {
        fleet("early-news", "");
        send(0, job("a"));
        assertTrue(reports.poll(10, TimeUnit.SECONDS).contains("started"));
        assertTrue(read(jobSocket.getInputStream()).startsWith("HTTP/1.1 202"));
    }

    @Test
    void sendsReportsTwice() throws Exception {
        fleet("twice-news", "");
        send(0, job("a"));
        assertEquals(List.of("started", "started", "done"), reportedStates());
    }

    @Test
    void sendsReportsOutOfOrder() throws Exception {
        fleet("shuffled-news", "");
        send(0, job("a"));
        assertEquals(List.of("done"), reportedStates());
        assertTrue(reports.poll(10, TimeUnit.SECONDS).contains("started"));
    }

    @Test
    void sendsNoReports() throws Exception {
        fleet("no-news", "");
        assertTrue(read(send(0, job("a")).getInputStream()).startsWith("HTTP/1.1 202"));
        send(1, job("b"));
        assertEquals(List.of("started", "done"), reportedStates());
        assertEquals(0, reports.size());
    }

    @Test
    void crashedProcessRefusesConnectionsAndVanishedMachineDoesNotRespond() throws Exception {
        fleet("crash", "");
        assertThrows(ConnectException.class, () -> send(0, job("a")));
        assertTrue(read(send(1, job("a")).getInputStream()).startsWith("HTTP/1.1 202"));
        end();
        fleet("vanish", "");
        assertThrows(SocketTimeoutException.class, () -> {
            Socket socket = send(0, job("a"));
            socket.setSoTimeout(200);
            read(socket.getInputStream());
        });
    }

    /** Bytes sent before or during a cut are read only after it; the judge must not blame the dispatcher for that. */
    @Test
    void notifiesOfPairsDelayedByAZoneCutOrALink() throws Exception {
        fleet("zone-cut", "50ms", "size = 0");
        assertEquals("1 by 0 disturbed", disturbances.poll(10, TimeUnit.SECONDS));
        assertEquals("1 by 0 free", disturbances.poll(10, TimeUnit.SECONDS));
        end();
        fleet("way-late", "50ms", "size = 1");
        assertEquals("0 by 0 disturbed", disturbances.poll(10, TimeUnit.SECONDS));
        assertEquals("0 by 0 free", disturbances.poll(10, TimeUnit.SECONDS));
        assertEquals(0, disturbances.size());
    }

    @Test
    void reportsADrainOnTheWatch() throws Exception {
        fleet("drain", "");
        Socket watch = new Socket();
        watch.connect(addresses.list(0), 1000);
        watch.getOutputStream()
                .write("GET /discovery/hosts?watch=1&from=1 HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        StringBuilder all = new StringBuilder();
        while (all.indexOf("draining") < 0) {
            all.append((char) watch.getInputStream().read());
        }
        watch.close();
        assertTrue(all.indexOf("\"host\":\"r0\"") > 0, all.toString());
        assertTrue(read(send(0, job("a")).getInputStream()).startsWith("HTTP/1.1 503"));
    }
}
