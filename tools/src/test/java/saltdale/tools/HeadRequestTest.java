package saltdale.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltdale.rig.platform.Machine;

/** HEAD at the ports of both roles, by real processes, on connections that are kept. */
@Timeout(60)
class HeadRequestTest {
    private static final CrowdedCluster.Limits LIMITS = new CrowdedCluster.Limits(96, 330, 1000);
    private static final int NET = 215;
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    @TempDir
    Path folder;

    /** Guards against the body of a response to HEAD, which the client takes for the response to its next request. */
    @Test
    void nextResponseFollowsTheHeadOfTheResponseToHead() throws Exception {
        try (CrowdedCluster cluster = new CrowdedCluster(NET, folder, LIMITS, LIMITS)) {
            assertTrue(cluster.awaitService(Duration.ofSeconds(30)), "service");
            Machine proxy = cluster.proxy();
            Machine control = cluster.controlNode();
            assertTwoResponses(404, cluster, proxy, Machine.FRONT_PORT, "/unknown", "Host: lofi.example");
            assertTwoResponses(400, cluster, proxy, Machine.FRONT_PORT, "/desk/x", "Host: lofi.example");
            assertTwoResponses(200, cluster, proxy, Machine.READINESS_PORT, "/readiness", "Host: x");
            assertTwoResponses(200, cluster, proxy, Machine.READINESS_PORT, "/metrics", "Host: x");
            assertTwoResponses(404, cluster, proxy, Machine.READINESS_PORT, "/unknown", "Host: x");
            assertTwoResponses(404, cluster, control, Machine.CONTROL_PORT, "/Configuration.Read", "Host: core");
        }
    }

    /** Sends the same HEAD request twice on one connection; both have the same head as their response. */
    private static void assertTwoResponses(
            int status, CrowdedCluster cluster, Machine machine, int port, String path, String header)
            throws IOException {
        byte[] request = ("HEAD " + path + " HTTP/1.1\r\n" + header + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        String name = machine.role() + " " + port + path;
        try (Socket socket = new Socket()) {
            socket.connect(cluster.address(machine, port), READ_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            for (int i = 0; i < 2; i++) {
                socket.getOutputStream().write(request);
                String head = readHead(socket.getInputStream());
                assertEquals("HTTP/1.1 " + status, head.substring(0, Math.min(12, head.length())), name);
            }
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf("\r\n\r\n") < 0) {
            int nextByte = in.read();
            if (nextByte < 0) {
                break;
            }
            received.append((char) nextByte);
        }
        return received.toString();
    }
}
