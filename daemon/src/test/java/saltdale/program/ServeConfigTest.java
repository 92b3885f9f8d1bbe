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

class ServeConfigTest {
    private static final String CONFIG = """
            {"seed":"8c1f30d27a5be964","limits":{"sockets":512},"settings":{"Limits":{"IdleClose":2000000,"DialTimeout":250000},
             "Workloads":[{"Name":"w","Repeat":"pure"}]}}""";

    @TempDir
    Path folder;

    private final Map<String, String> environment = new HashMap<>(
            Map.of("EDGE_NAME", "n3", "EDGE_LISTEN", "127.0.0.1:7070", "EDGE_DISCOVERY", "127.0.0.1:8500"));

    private Map<String, String> withConfig(String config) throws IOException {
        environment.put(
                "EDGE_CONFIG",
                Files.writeString(folder.resolve("config.json"), config).toString());
        return environment;
    }

    /** Returns the error message of serve, which exits with status 2. */
    private static String errorOf(Map<String, String> environment) {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(2, Serve.run(environment, new PrintStream(errors, true, StandardCharsets.UTF_8)));
        String message = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, message.lines().count(), message);
        return message;
    }

    @Test
    void readsTheEnvironmentAndTheFile() throws IOException {
        ServeConfig config = ServeConfig.read(withConfig(CONFIG));
        assertEquals("n3", config.name);
        assertEquals(0x8c1f30d27a5be964L, config.seed);
        assertEquals(512, config.descriptorLimit);
        assertEquals(2, config.runnerIdleTimeout.toSeconds());
        assertEquals("w", config.settings.workloads.get(0).name);
        assertNull(config.initialRunnerList);
        assertNull(config.preview);
    }

    @Test
    void readsOverloadSettingsOnlyIfTheFileHasATableForThem() throws IOException {
        assertNull(ServeConfig.read(withConfig(CONFIG)).settings.overload);
        String withOverload = CONFIG.replace("\"settings\"", "\"overload\":{%s},\"settings\"");
        assertEquals(
                OverloadSettings.DEFAULTS, ServeConfig.read(withConfig(withOverload.formatted(""))).settings.overload);
        assertEquals(
                Duration.ofMillis(250),
                ServeConfig.read(withConfig(withOverload.formatted("\"step\":250000")))
                        .settings
                        .overload
                        .minChangeInterval());
        assertEquals(
                "EDGE_CONFIG.overload: hihg is not a key that is known here; known: low, high, borne, missed, step, known",
                errorOf(withConfig(withOverload.formatted("\"hihg\":1")))
                        .strip()
                        .replaceFirst("^saltdale: ", ""));
        assertTrue(errorOf(withConfig(withOverload.formatted("\"low\":0.5")))
                .contains("EDGE_CONFIG.overload: high is not over low"));
        assertTrue(errorOf(withConfig(withOverload.formatted("\"borne\":2")))
                .contains("borne is not over 0 and at most 1"));
        assertTrue(errorOf(withConfig(withOverload.formatted("\"step\":0")))
                .contains("step is not a span in microseconds"));
    }

    @Test
    void mergesThePreviewIntoTheSettings() throws IOException {
        ServeConfig config =
                ServeConfig.read(withConfig(withPreview("{\"Weights\":\"live\",\"Limits\":{\"Probes\":true}}")));
        assertTrue(config.preview.loadBasedWeights && config.preview.mayProbe && !config.settings.loadBasedWeights);
        assertEquals(config.settings.connectTimeout, config.preview.connectTimeout);
        for (String invalid : new String[] {
            "\"Weights\":\"heavy\"",
            "\"Weights\":3",
            "\"Goal\":{\"Whole\":-1}",
            "\"Goal\":{\"Whole\":\"all\"}",
            "\"Tariffs\":{\"CrossZone\":-0.1}"
        }) {
            String key = invalid.replaceAll(".*\"(\\w+)\":[^{]*", "$1");
            assertTrue(
                    errorOf(withConfig(CONFIG.replace("\"Limits\"", invalid + ",\"Limits\"")))
                            .contains(key),
                    invalid);
            assertTrue(errorOf(withConfig(withPreview("{" + invalid + "}"))).contains(key), invalid);
        }
        assertTrue(errorOf(withConfig(withPreview("{\"Workloads\":[]}"))).contains("Workloads"));
    }

    @Test
    void readsTheZonesAndMachineTypesOfAWorkload() throws IOException {
        String placementFields = "\"Zones\":[\"a\",\"b\"],\"MachineTypes\":[\"big\",\"small\"],"
                + "\"Contract\":{\"LateShedding\":true},\"Workloads\"";
        String withPlacement = CONFIG.replace("\"Workloads\"", placementFields)
                .replace("\"pure\"", "\"pure\",\"ZonesOpen\":[\"a\"],\"ServedOn\":[\"big\"]");
        DispatcherSettings settings = ServeConfig.read(withConfig(withPlacement)).settings;
        assertEquals(Set.of("a"), settings.workloads.get(0).zones);
        assertEquals(Set.of("big"), settings.workloads.get(0).machineTypes);
        assertTrue(settings.lateRejections);
        for (String[] invalid : new String[][] {
            {"[\"a\"],", "[\"c\"],", "ZonesOpen"},
            {"[\"a\"],", "\"a\",", "ZonesOpen"},
            {"[\"big\"]}", "[\"vast\"]}", "ServedOn"},
            {"[\"big\"]}", "[1]}", "ServedOn"},
            {"\"LateShedding\":true", "\"LateShedding\":2", "LateShedding"}
        }) {
            assertTrue(
                    errorOf(withConfig(withPlacement.replace(invalid[0], invalid[1])))
                            .contains(invalid[2]),
                    invalid[1]);
        }
        DispatcherSettings defaults = ServeConfig.read(withConfig(CONFIG)).settings;
        assertTrue(defaults.workloads.get(0).zones.isEmpty()
                && defaults.workloads.get(0).machineTypes.isEmpty()
                && !defaults.lateRejections);
    }

    private static String withPreview(String settings) {
        return CONFIG.replace("{\"seed\"", "{\"preview\":" + settings + ",\"seed\"");
    }

    @Test
    void reloadOnHupChangesTheDiscoveryAddressWithoutARestart() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket first = new ServerSocket(0, 9, loopback);
                ServerSocket second = new ServerSocket(0, 9, loopback)) {
            first.setSoTimeout(20_000);
            second.setSoTimeout(20_000);
            String movedConfig =
                    CONFIG.replace("{\"seed\"", "{\"discovery\":\"127.0.0.1:" + second.getLocalPort() + "\",\"seed\"");
            environment.put("EDGE_DISCOVERY", "127.0.0.1:" + first.getLocalPort());
            environment.put("EDGE_LISTEN", "127.0.0.1:" + freePort());
            withConfig(CONFIG);
            FutureTask<Integer> serving = new FutureTask<>(() -> Serve.run(environment, System.err));
            new Thread(serving).start();
            first.accept();
            withConfig("nonsense");
            Signal.raise(new Signal("HUP"));
            withConfig(movedConfig);
            Signal.raise(new Signal("HUP"));
            second.accept();
            Signal.raise(new Signal("TERM"));
            assertEquals(0, serving.get(20, TimeUnit.SECONDS));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    void reportsAnAddressThatCannotBeBound() throws IOException {
        withConfig(CONFIG);
        environment.put("EDGE_LISTEN", "192.0.2.1:7070"); // reserved for documentation, so no machine has it
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(1, Serve.run(environment, new PrintStream(errors, true, StandardCharsets.UTF_8)));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("192.0.2.1:7070"));
    }

    @Test
    void reportsMissingAndInvalidValues() throws IOException {
        assertTrue(errorOf(environment).contains("EDGE_CONFIG is not set"));
        assertTrue(errorOf(withConfig("nonsense")).contains("EDGE_CONFIG"));
        assertTrue(errorOf(withConfig("[]")).contains("EDGE_CONFIG"));
        assertTrue(errorOf(withConfig(CONFIG.replace("8c1f", "xyz"))).contains("seed"));
        assertTrue(errorOf(withConfig("{\"seed\":\"1\"}")).contains("Workloads"));
        assertTrue(errorOf(withConfig(CONFIG.replace("\"pure\"", "7")))
                .contains("EDGE_CONFIG.settings.Workloads: Repeat"));
        assertTrue(errorOf(withConfig(CONFIG.replace("{\"seed\"", "{\"known\":{},\"seed\"")))
                .contains("known"));
        assertTrue(errorOf(withConfig(CONFIG.replace("250000", "0"))).contains("DialTimeout"));
        withConfig(CONFIG);
        environment.put("EDGE_LISTEN", "localhost:7070");
        assertTrue(errorOf(environment).contains("EDGE_LISTEN"));
        environment.remove("EDGE_NAME");
        assertTrue(errorOf(environment).contains("EDGE_NAME"));
    }
}
