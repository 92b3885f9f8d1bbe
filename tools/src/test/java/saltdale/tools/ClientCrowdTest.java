package saltdale.tools;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.rig.platform.Machine;

/**
 * Crowds of clients that do not behave, against real processes. Whatever the clients send, and although they stay
 * connected: no process ends, each keeps to the memory and the file descriptors of its machine, and an ordinary request
 * is served while the crowd is connected and after it has left.
 *
 * <p>The limits are those of the deployments, scaled down. A proxy there has 128 MB of heap for some 3,100 clients,
 * here 32 MB for some 600. What a process needs beside its heap is the same: a proxy's machine there has 330 MB, which
 * leaves 202 MB, a control node's 426 MB beside 192 MB, which leaves 234 MB.
 */
@Timeout(90)
class ClientCrowdTest {
    private static final int FIRST_NET = 173; // each case uses two of 127.173 to 127.214, which nothing else uses
    private static final int PROXY_CLIENTS = 600;
    private static final int CONTROL_CLIENTS = 400;
    private static final CrowdedCluster.Limits PROXY_LIMITS = new CrowdedCluster.Limits(32, 32 + 202, 1000);
    private static final CrowdedCluster.Limits CONTROL_LIMITS = new CrowdedCluster.Limits(96, 96 + 234, 1000);

    private static final int BODY_LIMIT = 262_144; // of the proxy, as the configuration of the cluster says
    private static final int HEAD_LIMIT = 16_384;
    private static final int ORDER_LIMIT = 4 << 20;

    private static final Duration STARTUP_LIMIT = Duration.ofSeconds(30);
    private static final Duration CROWD_LIMIT = Duration.ofSeconds(10);
    private static final Duration CROWD_STALLED = Duration.ofSeconds(1);
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(30); // bounds the test, not the service

    private static int caseCount; // a stand-in keeps its addresses until its virtual machine ends

    @TempDir
    Path folder;

    // The bytes that clients send.

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String proxyHead(String moreHeaders) {
        return "POST /desk/x HTTP/1.1\r\nHost: lofi.example\r\nX-Saltdale-Attempt-Id: crowd\r\n" + moreHeaders + "\r\n";
    }

    private static String orderHead(String moreHeaders) {
        return "POST /Configuration.Replace HTTP/1.1\r\nHost: core\r\nX-Saltdale-Based-On-Version: 77\r\n" + moreHeaders
                + "\r\n";
    }

    private static String length(long bytes) {
        return "Content-Length: " + bytes + "\r\n";
    }

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** Chunks of this size that have this length in all. */
    private static ByteBuffer chunks(int chunkBytes, int totalBytes) {
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        return text(chunk.repeat(totalBytes / chunkBytes));
    }

    private static ByteBuffer bytes(int count) {
        return text(" ".repeat(count));
    }

    /** A head of this size without its last line end. */
    private static String unfinishedHead(String start, int size) {
        StringBuilder head = new StringBuilder(start);
        while (head.length() < size - 600) {
            head.append("X-Filler: ").append("f".repeat(500)).append("\r\n");
        }
        return head.toString();
    }

    /** What the clients of a proxy send. */
    enum ProxyCrowd {
        WHOLE_BODIES_SHORT_OF_THEIR_END,
        BODIES_IN_PIECES_SHORT_OF_THEIR_END,
        LARGE_CHUNKS_SHORT_OF_THEIR_END,
        CHUNKS_OF_ONE_BYTE_SHORT_OF_THEIR_END,
        CHUNKS_OVER_THE_LIMIT,
        LENGTH_OVER_THE_LIMIT,
        HEADS_SHORT_OF_THEIR_END,
        LARGE_HEADS_WITH_UNFINISHED_BODIES,
        REQUESTS_SENT_AHEAD,
        RESPONSES_NOT_READ,
        LONG_LISTS_OF_CONNECTION_OPTIONS;

        int port() {
            return this == RESPONSES_NOT_READ ? Machine.READINESS_PORT : Machine.FRONT_PORT;
        }

        ClientCrowd.Script script() {
            String largeHead = unfinishedHead(proxyHead("").stripTrailing() + "\r\n", HEAD_LIMIT);
            return switch (this) {
                case WHOLE_BODIES_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(proxyHead(length(BODY_LIMIT))), bytes(BODY_LIMIT - 1));
                case BODIES_IN_PIECES_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(proxyHead(length(BODY_LIMIT))), bytes(BODY_LIMIT - 1))
                            .inPieces(4096);
                case LARGE_CHUNKS_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(proxyHead(CHUNKED)), chunks(65_535, BODY_LIMIT - 1));
                case CHUNKS_OF_ONE_BYTE_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(proxyHead(CHUNKED)), chunks(1, BODY_LIMIT - 1));
                case CHUNKS_OVER_THE_LIMIT ->
                    ClientCrowd.Script.of(text(proxyHead(CHUNKED)), chunks(8192, 8 * BODY_LIMIT));
                case LENGTH_OVER_THE_LIMIT ->
                    ClientCrowd.Script.of(text(proxyHead(length(8L * BODY_LIMIT))), bytes(8 * BODY_LIMIT));
                case HEADS_SHORT_OF_THEIR_END -> ClientCrowd.Script.of(text(largeHead));
                case LARGE_HEADS_WITH_UNFINISHED_BODIES -> ClientCrowd.Script.of(text(largeHead + length(2) + "\r\nx"));
                case REQUESTS_SENT_AHEAD ->
                    ClientCrowd.Script.of(text(proxyHead(length(0)).repeat(1000)));
                case RESPONSES_NOT_READ ->
                    ClientCrowd.Script.of(text("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".repeat(30_000)))
                            .withoutReading();
                case LONG_LISTS_OF_CONNECTION_OPTIONS ->
                    ClientCrowd.Script.of(text(proxyHead(
                                    "X-A: 1\r\n".repeat(55) + "Connection: " + "a,".repeat(7500) + "a\r\n" + length(0))
                            .repeat(10)));
            };
        }
    }

    /** What the clients of a control node send. */
    enum ControlCrowd {
        WHOLE_ORDERS_SHORT_OF_THEIR_END,
        CHUNKED_ORDERS_SHORT_OF_THEIR_END,
        CHUNKED_ORDERS_OF_LEGAL_SIZE,
        CHUNKS_OF_ONE_BYTE_SHORT_OF_THEIR_END,
        CHUNKS_OVER_THE_LIMIT,
        LENGTH_OVER_THE_LIMIT,
        HEADS_SHORT_OF_THEIR_END,
        RESPONSES_NOT_READ;

        ClientCrowd.Script script() {
            return switch (this) {
                case WHOLE_ORDERS_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(orderHead(length(ORDER_LIMIT))), bytes(ORDER_LIMIT - 1));
                case CHUNKED_ORDERS_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(orderHead(CHUNKED)), chunks(65_535, ORDER_LIMIT - 1));
                case CHUNKED_ORDERS_OF_LEGAL_SIZE ->
                    ClientCrowd.Script.of(text(orderHead(CHUNKED)), chunks(65_535, ORDER_LIMIT - 1), text("0\r\n\r\n"));
                case CHUNKS_OF_ONE_BYTE_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(orderHead(CHUNKED)), chunks(1, BODY_LIMIT));
                case CHUNKS_OVER_THE_LIMIT ->
                    ClientCrowd.Script.of(text(orderHead(CHUNKED)), chunks(65_536, 2 * ORDER_LIMIT));
                case LENGTH_OVER_THE_LIMIT ->
                    ClientCrowd.Script.of(text(orderHead(length(2L * ORDER_LIMIT))), bytes(2 * ORDER_LIMIT));
                case HEADS_SHORT_OF_THEIR_END ->
                    ClientCrowd.Script.of(text(unfinishedHead(orderHead("").stripTrailing() + "\r\n", HEAD_LIMIT / 2)));
                case RESPONSES_NOT_READ ->
                    ClientCrowd.Script.of(text("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n".repeat(30_000)))
                            .withoutReading();
            };
        }
    }

    // The checks.

    private CrowdedCluster startCluster() throws Exception {
        CrowdedCluster cluster = new CrowdedCluster(FIRST_NET + 2 * caseCount++, folder, PROXY_LIMITS, CONTROL_LIMITS);
        if (!cluster.awaitService(STARTUP_LIMIT)) {
            String log = cluster.log(cluster.proxy());
            cluster.close();
            throw new AssertionError("no request was served before the crowd came: " + log);
        }
        return cluster;
    }

    /** Sends the crowd to the machine and checks the bounds. */
    private static void check(
            CrowdedCluster cluster,
            Machine machine,
            int port,
            int clients,
            ClientCrowd.Script script,
            CrowdedCluster.Limits limits)
            throws Exception {
        long descriptors = 0;
        boolean servedMeanwhile;
        InetSocketAddress address = cluster.address(machine, port);
        try (ClientCrowd crowd = new ClientCrowd(address, clients, script)) {
            crowd.send(CROWD_STALLED, CROWD_LIMIT);
            assertAlive(cluster, machine, "under the crowd");
            descriptors = cluster.openDescriptors(machine);
            servedMeanwhile =
                    cluster.awaitServedRequest(SERVICE_LIMIT) && cluster.awaitConfigurationRead(SERVICE_LIMIT);
        }
        assertAlive(cluster, machine, "after the crowd has left");
        long openDescriptors = descriptors;
        boolean servedAfterwards = cluster.awaitServedRequest(SERVICE_LIMIT)
                && cluster.awaitConfigurationRead(SERVICE_LIMIT)
                && cluster.awaitOrder(1, SERVICE_LIMIT);
        long peak = cluster.peakMegabytes(machine);
        assertAll(
                () -> assertTrue(servedMeanwhile, "ordinary requests are not served while the crowd is connected"),
                () -> assertTrue(servedAfterwards, "ordinary requests are not served after the crowd has left"),
                () -> assertTrue(peak <= limits.machineMegabytes(), "memory at its peak: " + peak + " MB"),
                () -> assertTrue(openDescriptors <= limits.fileDescriptors(), "descriptors: " + openDescriptors));
    }

    private static void assertAlive(CrowdedCluster cluster, Machine machine, String when) throws IOException {
        assertTrue(
                cluster.process(machine).isAlive(),
                machine.name() + " has ended " + when + ": "
                        + cluster.log(machine).lines().findFirst());
    }

    @ParameterizedTest
    @EnumSource
    void proxyOutlivesTheCrowd(ProxyCrowd crowd) throws Exception {
        try (CrowdedCluster cluster = startCluster()) {
            check(cluster, cluster.proxy(), crowd.port(), PROXY_CLIENTS, crowd.script(), PROXY_LIMITS);
        }
    }

    @ParameterizedTest
    @EnumSource
    void controlNodeOutlivesTheCrowd(ControlCrowd crowd) throws Exception {
        try (CrowdedCluster cluster = startCluster()) {
            Machine machine = cluster.controlNode();
            check(cluster, machine, Machine.CONTROL_PORT, CONTROL_CLIENTS, crowd.script(), CONTROL_LIMITS);
        }
    }

    /** One order of legal size whose tree takes many times the memory of its text. */
    @Test
    void controlNodeOutlivesAnOrderOfManyEmptyObjects() throws Exception {
        String empty = "{},".repeat((ORDER_LIMIT - 100) / 3);
        String order = "{\"revision\":9,\"services\":[],\"routes\":[" + empty + "{}]}";
        ClientCrowd.Script script = ClientCrowd.Script.of(text(orderHead(length(order.length()))
                .replace("Version: 77", "Version: 1")
                .concat(order)));
        try (CrowdedCluster cluster = startCluster()) {
            check(cluster, cluster.controlNode(), Machine.CONTROL_PORT, 4, script, CONTROL_LIMITS);
        }
    }

    /** Operators see at each process what connections hold, and what was refused. */
    @Test
    void metricsTellWhatIsHeldAndRefused() throws Exception {
        try (CrowdedCluster cluster = startCluster()) {
            checkMetrics(
                    cluster, cluster.proxy(), Machine.FRONT_PORT, ProxyCrowd.WHOLE_BODIES_SHORT_OF_THEIR_END.script());
            checkMetrics(
                    cluster,
                    cluster.controlNode(),
                    Machine.CONTROL_PORT,
                    ControlCrowd.WHOLE_ORDERS_SHORT_OF_THEIR_END.script());
        }
    }

    private static void checkMetrics(CrowdedCluster cluster, Machine machine, int port, ClientCrowd.Script script)
            throws IOException {
        assertEquals(0, cluster.metric(machine, "requests_held_bytes"));
        assertEquals(0, cluster.metric(machine, "requests_refused_for_memory"));
        try (ClientCrowd crowd = new ClientCrowd(cluster.address(machine, port), 50, script)) {
            crowd.send(Duration.ofMillis(200), CROWD_LIMIT);
            long held = cluster.metric(machine, "requests_held_bytes");
            long limit = cluster.metric(machine, "requests_held_bytes_limit");
            assertTrue(held > 0 && held <= limit, held + " of " + limit);
            assertTrue(cluster.metric(machine, "requests_refused_for_memory") > 0);
            assertTrue(cluster.metric(machine, "connections_open") > 0);
        }
    }
}
