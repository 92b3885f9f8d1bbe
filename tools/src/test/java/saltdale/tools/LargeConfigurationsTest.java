package saltdale.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.rig.platform.Machine;

/**
 * Changes of configurations of nearly the largest size, in which every item changes each time, against real processes
 * with the heaps of the deployments. However many changes there are: no process ends, and requests are served.
 */
@Timeout(300) // bounds the test on a slow machine
class LargeConfigurationsTest {
    private static final int FIRST_NET = 217; // each shape uses two of 127.217 to 127.232, which nothing else uses
    private static final CrowdedCluster.Limits PROXY_LIMITS = new CrowdedCluster.Limits(128, 330, 4100);
    private static final CrowdedCluster.Limits CONTROL_LIMITS = new CrowdedCluster.Limits(192, 426, 4100);
    private static final int CHANGES = 16;
    private static final int SLOWLY_READ_VERSIONS = 55; // together more than the heap of a control node
    private static final int BYTES_READ_AT_ONCE = 8192;
    private static final String READ_REQUEST = "GET /Configuration.Read HTTP/1.1\r\nHost: core\r\n\r\n";
    private static final int FIRST_INDEX = 1_000_000; // all have the same number of digits
    private static final int LARGEST_BYTES = 4 << 20;
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(30); // bounds the test, not the service

    /** What the configuration consists of, beside the routes that the cluster serves. */
    enum Shape {
        /** Routes that are split over many services, whose weights change. */
        SPLIT_ROUTES(9_000) {
            @Override
            void addTo(ObjectNode root, int index, int revision) {
                ObjectNode route = route(root, index, revision);
                ArrayNode parts = route.putArray("split");
                for (int part = 0; part < 14; part++) {
                    parts.addObject()
                            .put(
                                    "service",
                                    root.get("services").get(0).get("name").asText())
                            .put("weight", 1 + (revision + part) % 50);
                }
            }
        },
        /** Routes to one service each, whose time-outs change. */
        ROUTES(100_000) {
            @Override
            void addTo(ObjectNode root, int index, int revision) {
                route(root, index, revision)
                        .put("service", root.get("services").get(0).get("name").asText());
            }
        },
        /** Items of a list that the platform does not know, as small as they can be. */
        SMALL_ITEMS(139_000) {
            @Override
            void addTo(ObjectNode root, int index, int revision) {
                root.withArray("tenants").addObject().put("name", "t" + index).put("n", revision);
            }
        },
        /** Items with texts that occur once. */
        LONG_TEXTS(100_000) {
            @Override
            void addTo(ObjectNode root, int index, int revision) {
                String text = Integer.toString(index * 1_000 + revision, 36) + "-";
                root.withArray("notes")
                        .addObject()
                        .put("name", "n" + index)
                        .put("text", text.repeat(2000 / text.length()));
            }
        },
        /** A single item that holds nearly all. */
        ONE_ITEM(200_000) {
            @Override
            void addTo(ObjectNode root, int index, int revision) {
                ArrayNode list = root.withArray("plans");
                ObjectNode item = list.isEmpty() ? list.addObject().put("name", "plan") : (ObjectNode) list.get(0);
                item.withArray("steps").addArray().add("step-" + index + "-" + revision);
            }
        },
        /** Fields beside the lists. */
        FIELDS(400_000) {
            @Override
            void addTo(ObjectNode root, int index, int revision) {
                root.put("field-" + index, "v" + revision);
            }
        };

        private final int maxCount; // of values, three for each small item, the configuration may have 419,430

        Shape(int maxCount) {
            this.maxCount = maxCount;
        }

        abstract void addTo(ObjectNode root, int index, int revision);

        private static ObjectNode route(ObjectNode root, int index, int revision) {
            return root.withArray("routes")
                    .addObject()
                    .put("name", "x-" + index)
                    .put("hostname", "large.example")
                    .put("path_prefix", "/x" + index + "/")
                    .put("kind", "idempotent")
                    .put("timeout_ms", 5000 + revision)
                    .put("target_latency_ms", 1000)
                    .put("priority", 1)
                    .put("max_attempts", 2);
        }

        /** An ordinary configuration, enlarged by so many items that it is a little smaller than the largest one. */
        String configuration(ObjectNode ordinary, int revision) {
            addTo(ordinary, FIRST_INDEX, revision);
            int bytesOfOne = ordinary.toString().length();
            addTo(ordinary, FIRST_INDEX + 1, revision);
            int itemBytes = ordinary.toString().length() - bytesOfOne;
            int count = Math.min(maxCount, (LARGEST_BYTES - bytesOfOne) / itemBytes);
            for (int item = 2; item < count; item++) {
                addTo(ordinary, FIRST_INDEX + item, revision);
            }
            return ordinary.toString();
        }
    }

    @TempDir
    Path folder;

    /** Guards against versions, changes and trees that a process keeps: their bytes were not bounded. */
    @ParameterizedTest
    @EnumSource(Shape.class)
    void noProcessEndsHoweverOftenEverythingChanges(Shape shape) throws IOException, InterruptedException {
        int net = FIRST_NET + 2 * shape.ordinal();
        try (CrowdedCluster cluster = new CrowdedCluster(net, folder, PROXY_LIMITS, CONTROL_LIMITS)) {
            assertTrue(cluster.awaitService(SERVICE_LIMIT), "service");
            int revision = 1;
            for (int change = 1; change <= CHANGES; change++) {
                String text = shape.configuration(cluster.ordinaryConfiguration(revision + 1), revision + 1);
                assertTrue(text.length() > 3_000_000 && text.length() <= LARGEST_BYTES, "bytes: " + text.length());
                boolean acknowledged = cluster.awaitOrder(revision, text, SERVICE_LIMIT);
                assertEquals("", cluster.ends(), "change " + change);
                assertTrue(acknowledged, "change " + change);
                revision++;
            }
            assertTrue(cluster.awaitServedRequest(SERVICE_LIMIT), "service afterwards, " + cluster.ends());
            for (Machine machine : new Machine[] {cluster.proxy(), cluster.controlNode()}) {
                long limit = (machine.isProxy() ? PROXY_LIMITS : CONTROL_LIMITS).machineMegabytes();
                assertTrue(cluster.peakMegabytes(machine) <= limit, machine.name());
            }
        }
    }

    /** Guards against clients that hardly read the configurations that they asked for, each of another version. */
    @Test
    void noProcessEndsWhenEachVersionHasAClientThatReadsItSlowly() throws IOException, InterruptedException {
        int net = FIRST_NET + 2 * Shape.values().length;
        List<Socket> clients = new ArrayList<>();
        try (CrowdedCluster cluster = new CrowdedCluster(net, folder, PROXY_LIMITS, CONTROL_LIMITS)) {
            assertTrue(cluster.awaitService(SERVICE_LIMIT), "service");
            for (int revision = 1; revision <= SLOWLY_READ_VERSIONS; revision++) {
                String text = Shape.LONG_TEXTS.configuration(cluster.ordinaryConfiguration(revision + 1), revision + 1);
                boolean acknowledged = cluster.awaitOrder(revision, text, SERVICE_LIMIT);
                assertEquals("", cluster.ends(), "version " + revision);
                assertTrue(acknowledged, "version " + revision);
                for (Socket each : clients) {
                    each.getInputStream().skip(Math.min(each.getInputStream().available(), BYTES_READ_AT_ONCE));
                }
                Socket client = new Socket();
                clients.add(client);
                client.setReceiveBufferSize(2 * BYTES_READ_AT_ONCE);
                client.connect(cluster.address(cluster.controlNode(), Machine.CONTROL_PORT));
                client.getOutputStream().write(READ_REQUEST.getBytes(StandardCharsets.US_ASCII));
            }
            assertTrue(cluster.awaitConfigurationRead(SERVICE_LIMIT), "read afterwards, " + cluster.ends());
            for (Socket each : clients) {
                each.close();
            }
            boolean released =
                    cluster.awaitMetric(cluster.controlNode(), "configurations_unread_bytes", 0, SERVICE_LIMIT);
            assertTrue(released, "nothing is kept for readers that are done");
        } finally {
            for (Socket each : clients) {
                each.close();
            }
        }
    }
}
