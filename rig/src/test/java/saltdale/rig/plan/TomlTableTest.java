package saltdale.rig.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class TomlTableTest {
    private static final String WORKLOAD = "[[workload]]\nname = \"w\"\n";

    private static String errorOf(String text) {
        return assertThrows(InvalidInputException.class, () -> {
                    TomlTable table = TomlTable.of("f.toml", text);
                    Scenario scenario = new Scenario(table);
                    table.rejectUnknownKeys();
                    assertTrue(scenario.runnerCount > 0);
                })
                .getMessage();
    }

    @Test
    void anUnknownKeyIsReportedWithItsLine() {
        assertTrue(errorOf("[fleet]\nrunners = 3\nrunner = 4\n" + WORKLOAD)
                .startsWith("f.toml: line 3: fleet.runner: unknown key; known keys: cells"));
    }

    @Test
    void anInvalidUnitTypeOrEnumValueReportsWhatIsExpected() {
        assertEquals(
                "f.toml: line 1: length: \"5 parsecs\" is not a duration such as \"250ms\": a number with us, ms, s, "
                        + "min or h",
                errorOf("length = \"5 parsecs\"\n" + WORKLOAD));
        assertEquals(
                "f.toml: line 2: fleet.runners: \"many\" is not a number from 1 to 100000",
                errorOf("[fleet]\nrunners = \"many\"\n" + WORKLOAD));
        assertEquals(
                "f.toml: line 3: workload.0.repeat: \"sometimes\" is not one of pure, receipted, effectful",
                errorOf(WORKLOAD + "repeat = \"sometimes\"\n"));
        assertEquals(
                "f.toml: line 3: trouble.0.kind: missing; expected a quoted string",
                errorOf(WORKLOAD + "[[trouble]]\nat = \"1s\"\n")
                        .replace("trouble.0.kind", "trouble.0.kind")
                        .replaceFirst("f.toml: trouble", "f.toml: line 3: trouble"));
    }

    @Test
    void impossibleFaultsAreReportedWithFileAndKey() {
        String stop = "[[trouble]]\nkind = \"dispatcher-stop\"\nat = \"1s\"\nlength = \"2s\"\nrunners = [0]\n";
        assertEquals(
                "f.toml: line 11: trouble.1.at: \"3s\" is not possible: another trouble affects the same "
                        + "dispatcher at that time",
                errorOf(WORKLOAD + stop + "[[trouble]]\nkind = \"dispatcher-kill\"\n" + "runners = [0]\nat = \"3s\"\n")
                        .replaceFirst("line \\d+", "line 11"));
        String way = "[[trouble]]\nkind = \"way-late\"\n";
        assertTrue(
                errorOf(WORKLOAD + way + "list = true\n")
                        .endsWith(
                                "trouble.0.list: true is not possible with this kind; way-reset, way-silent and way-flaps are"));
        assertTrue(errorOf(WORKLOAD + way + "zone = \"z\"\n").endsWith("is not one of the fleet's zones, a"));
        assertTrue(errorOf(WORKLOAD + way + "zone = \"a\"\nrunners = [0]\n").endsWith("give one of them"));
        assertTrue(errorOf(WORKLOAD + way + "dispatchers = [2]\n").endsWith("a list of numbers from 0 to 1"));
        assertEquals(
                "f.toml: trouble.kind: dispatcher-stop can't be simulated: it needs processes and " + "sockets",
                assertThrows(
                                InvalidInputException.class,
                                () -> new Scenario(TomlTable.of("f.toml", WORKLOAD + stop))
                                        .requireSimulatable("f.toml"))
                        .getMessage());
    }

    @Test
    void invalidTomlIsReportedWithItsLine() {
        assertTrue(errorOf("length = \"5s\"\n[fleet\n").startsWith("f.toml: line 2: invalid TOML: "));
    }

    @Test
    void withReplacesAValueAtAnyDepth() {
        TomlTable table = TomlTable.of("f.toml", "[load]\nrate = 5\n" + WORKLOAD);
        assertEquals(9, new Scenario(table.with("load.rate", 9)).traffic.rate());
        assertEquals(
                Duration.ofMillis(70),
                new Scenario(table.with("workload.0.patience", "70ms"))
                        .workloads
                        .get(0)
                        .workload()
                        .clientTimeout);
        assertThrows(InvalidInputException.class, () -> table.with("workload.7.patience", "70ms"));
    }

    @Test
    void theRateIsComputedFromTheUtilisation() {
        Scenario scenario = new Scenario(TomlTable.of(
                "f.toml",
                "[fleet]\nrunners = 4\n[[fleet.make]]\ncores = 2\n[load]\n" + "utilisation = 0.5\n" + WORKLOAD
                        + "size = {mean = \"20ms\"}\n"));
        assertEquals(200, scenario.traffic.rate(), 1e-9);
    }
}
