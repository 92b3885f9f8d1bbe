package saltdale.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltdale.model.DispatcherSettings;
import saltdale.model.OverloadSettings;
import sun.misc.Signal;

class PostingTest {
    private static final String CONFIG = """
            {"seed":"8c1f30d27a5be964","limits":{"sockets":512},"settings":{"Limits":{"IdleClose":2000000,"DialTimeout":250000},
             "Workloads":[{"Name":"w","Repeat":"pure"}]}}""";

    @TempDir
    Path folder;

    private final Map<String, String> environment = new HashMap<>(
            Map.of("EDGE_NAME", "n3", "EDGE_LISTEN", "127.0.0.1:7070", "EDGE_DISCOVERY", "127.0.0.1:8500"));

    private Map<String, String> with(String config) throws IOException {
        environment.put(
                "EDGE_CONFIG",
                Files.writeString(folder.resolve("config.json"), config).toString());
        return environment;
    }

    /** What serve says of this, with exit status 2. */
    private static String complaint(Map<String, String> environment) {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(2, Serve.run(environment, new PrintStream(errors, true, StandardCharsets.UTF_8)));
        String said = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, said.lines().count(), said);
        return said;
    }

    @Test
    void whatItIsToldIsRead() throws IOException {
        Posting posting = Posting.read(with(CONFIG));
        assertEquals("n3", posting.name);
        assertEquals(0x8c1f30d27a5be964L, posting.seed);
        assertEquals(512, posting.sockets);
        assertEquals(2, posting.idleClose.toSeconds());
        assertEquals("w", posting.orders.workloads.get(0).name);
        assertNull(posting.known);
        assertNull(posting.preview);
    }

    @Test
    void overloadsAreMetByLevelsOnlyWhereTheFileHasATableForThem() throws IOException {
        assertNull(Posting.read(with(CONFIG)).orders.overload);
        String on = CONFIG.replace("\"settings\"", "\"overload\":{%s},\"settings\"");
        assertEquals(OverloadSettings.DEFAULTS, Posting.read(with(on.formatted(""))).orders.overload);
        assertEquals(
                Duration.ofMillis(250),
                Posting.read(with(on.formatted("\"step\":250000")))
                        .orders
                        .overload
                        .minChangeInterval());
        assertEquals(
                "EDGE_CONFIG.overload: hihg is not a key that is known here; known: low, high, borne, missed, step, known",
                complaint(with(on.formatted("\"hihg\":1"))).strip().replaceFirst("^saltdale: ", ""));
        assertTrue(complaint(with(on.formatted("\"low\":0.5"))).contains("EDGE_CONFIG.overload: high is not over low"));
        assertTrue(complaint(with(on.formatted("\"borne\":2"))).contains("borne is not over 0 and at most 1"));
        assertTrue(complaint(with(on.formatted("\"step\":0"))).contains("step is not a span in microseconds"));
    }

    @Test
    void aPreviewIsItsSettingsLaidOverTheOthers() throws IOException {
        Posting posting = Posting.read(with(previewing("{\"Weights\":\"live\",\"Limits\":{\"Probes\":true}}")));
        assertTrue(posting.preview.loadBasedWeights && posting.preview.mayProbe && !posting.orders.loadBasedWeights);
        assertEquals(posting.orders.connectTimeout, posting.preview.connectTimeout);
        for (String wrong : new String[] {
            "\"Weights\":\"heavy\"",
            "\"Weights\":3",
            "\"Goal\":{\"Whole\":-1}",
            "\"Goal\":{\"Whole\":\"all\"}",
            "\"Tariffs\":{\"CrossZone\":-0.1}"
        }) {
            String key = wrong.replaceAll(".*\"(\\w+)\":[^{]*", "$1");
            assertTrue(
                    complaint(with(CONFIG.replace("\"Limits\"", wrong + ",\"Limits\"")))
                            .contains(key),
                    wrong);
            assertTrue(complaint(with(previewing("{" + wrong + "}"))).contains(key), wrong);
        }
        assertTrue(complaint(with(previewing("{\"Workloads\":[]}"))).contains("Workloads"));
    }

    @Test
    void whereAWorkloadMayRunIsRead() throws IOException {
        String settings = "\"Zones\":[\"a\",\"b\"],\"MachineTypes\":[\"big\",\"small\"],"
                + "\"Contract\":{\"LateShedding\":true},\"Workloads\"";
        String bound = CONFIG.replace("\"Workloads\"", settings)
                .replace("\"pure\"", "\"pure\",\"ZonesOpen\":[\"a\"],\"ServedOn\":[\"big\"]");
        DispatcherSettings orders = Posting.read(with(bound)).orders;
        assertEquals(Set.of("a"), orders.workloads.get(0).zones);
        assertEquals(Set.of("big"), orders.workloads.get(0).machineTypes);
        assertTrue(orders.lateRejections);
        for (String[] wrong : new String[][] {
            {"[\"a\"],", "[\"c\"],", "ZonesOpen"},
            {"[\"a\"],", "\"a\",", "ZonesOpen"},
            {"[\"big\"]}", "[\"vast\"]}", "ServedOn"},
            {"[\"big\"]}", "[1]}", "ServedOn"},
            {"\"LateShedding\":true", "\"LateShedding\":2", "LateShedding"}
        }) {
            assertTrue(complaint(with(bound.replace(wrong[0], wrong[1]))).contains(wrong[2]), wrong[1]);
        }
        DispatcherSettings without = Posting.read(with(CONFIG)).orders;
        assertTrue(without.workloads.get(0).zones.isEmpty()
                && without.workloads.get(0).machineTypes.isEmpty()
                && !without.lateRejections);
    }

    private static String previewing(String settings) {
        return CONFIG.replace("{\"seed\"", "{\"preview\":" + settings + ",\"seed\"");
    }

    @Test
    void aNewConfigurationMovesDiscoveryAndEndsNothing() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        try (ServerSocket first = new ServerSocket(0, 9, here);
                ServerSocket next = new ServerSocket(0, 9, here)) {
            first.setSoTimeout(20_000);
            next.setSoTimeout(20_000);
            String moved =
                    CONFIG.replace("{\"seed\"", "{\"discovery\":\"127.0.0.1:" + next.getLocalPort() + "\",\"seed\"");
            environment.put("EDGE_DISCOVERY", "127.0.0.1:" + first.getLocalPort());
            environment.put("EDGE_LISTEN", "127.0.0.1:" + freePort());
            with(CONFIG);
            FutureTask<Integer> serving = new FutureTask<>(() -> Serve.run(environment, System.err));
            new Thread(serving).start();
            first.accept();
            with("nonsense");
            Signal.raise(new Signal("HUP"));
            with(moved);
            Signal.raise(new Signal("HUP"));
            next.accept();
            Signal.raise(new Signal("TERM"));
            assertEquals(0, serving.get(20, TimeUnit.SECONDS));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0)) {
            return any.getLocalPort();
        }
    }

    @Test
    void anAddressThatCannotBeBoundIsNamed() throws IOException {
        with(CONFIG);
        environment.put("EDGE_LISTEN", "192.0.2.1:7070"); // for documentation; no machine has it
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(1, Serve.run(environment, new PrintStream(errors, true, StandardCharsets.UTF_8)));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("192.0.2.1:7070"));
    }

    @Test
    void whatIsMissingOrWrongIsNamed() throws IOException {
        assertTrue(complaint(environment).contains("EDGE_CONFIG is not set"));
        assertTrue(complaint(with("nonsense")).contains("EDGE_CONFIG"));
        assertTrue(complaint(with("[]")).contains("EDGE_CONFIG"));
        assertTrue(complaint(with(CONFIG.replace("8c1f", "xyz"))).contains("seed"));
        assertTrue(complaint(with("{\"seed\":\"1\"}")).contains("Workloads"));
        assertTrue(complaint(with(CONFIG.replace("\"pure\"", "7"))).contains("EDGE_CONFIG.settings.Workloads: Repeat"));
        assertTrue(complaint(with(CONFIG.replace("{\"seed\"", "{\"known\":{},\"seed\"")))
                .contains("known"));
        assertTrue(complaint(with(CONFIG.replace("250000", "0"))).contains("DialTimeout"));
        with(CONFIG);
        environment.put("EDGE_LISTEN", "localhost:7070");
        assertTrue(complaint(environment).contains("EDGE_LISTEN"));
        environment.remove("EDGE_NAME");
        assertTrue(complaint(environment).contains("EDGE_NAME"));
    }
}
