package saltdale.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltdale.rig.experiment.Run;
import saltdale.rig.experiment.RunResult;
import saltdale.rig.experiment.Version;
import saltdale.rig.judge.Violation;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;

/**
 * Real dispatcher processes with stand-in runners, under faults of processes and links. The judge uses what clients,
 * runners and the list observed. Only invariants are checked here; experiments measure the quality of service.
 */
@Timeout(120)
class FaultsTest {
    private static final String DAY = """
            seed = 3
            length = "8s"
            dispatchers = 3
            [fleet]
            runners = 6
            zones = ["a", "b"]
            [[fleet.make]]
            cores = 2
            queue = 16
            cold_from = 0.3
            warm_within = "3s"
            [load]
            rate = 90
            retries = 2
            [[workload]]
            name = "view"
            share = 4
            promised = "200ms"
            patience = "1500ms"
            size = {kind = "exponential", mean = "20ms"}
            [[workload]]
            name = "rebuild"
            promised = "400ms"
            patience = "2500ms"
            repeat = "receipted"
            size = {kind = "exponential", mean = "60ms"}
            [[workload]]
            name = "order"
            promised = "400ms"
            patience = "2500ms"
            repeat = "effectful"
            size = {kind = "exponential", mean = "40ms"}
            """;

    @TempDir
    Path folder;

    private Map<String, Double> run(String extraLines) throws IOException {
        return run(DAY, extraLines);
    }

    private Map<String, Double> run(String text, String extraLines) throws IOException {
        Scenario day = new Scenario(TomlTable.of("faults", text + extraLines));
        RunResult outcome = Run.runOnSockets(
                day,
                Version.current("now", Path.of("..")),
                "",
                0,
                Run.clientRequests(day, folder),
                folder,
                null,
                (share, dispatchers) -> {});
        assertEquals(List.<Violation>of(), outcome.violations());
        assertEquals(0, outcome.figures().get("dispatchers_died"));
        return outcome.figures();
    }

    /** Jobs bound to a zone or kind never run elsewhere, even while all of it is down; rejected jobs may have run. */
    @Test
    void placementIsKeptWhenARejectionDoesNotProveNonExecution() throws IOException {
        Map<String, Double> figures = run(
                DAY.replace("name = \"view\"", "name = \"view\"\nzones = [\"a\"]")
                        .replace("name = \"rebuild\"", "name = \"rebuild\"\nkinds = [\"wide\"]")
                        .replace(
                                "[load]",
                                "[[fleet.make]]\nname = \"wide\"\ncores = 3\n[orders]\nfull_proves_nothing = true\n[load]"),
                trouble("late-shed", "at = \"1s\"; length = \"6s\"; part = 1.0; size = 0.3")
                        + trouble("crash", "at = \"3s\"; length = \"2s\"; runners = [0, 2, 4]")
                        + trouble("way-reset", "at = \"5s\"; length = \"1s\"; runners = [1, 3]; dispatchers = [0]"));
        assertTrue(figures.get("given_up_share") > 0, "rejected effectful jobs can only be given up");
    }

    private static String trouble(String kind, String extraLines) {
        return "[[trouble]]\nkind = \"" + kind + "\"\n" + extraLines.replace("; ", "\n") + "\n";
    }

    @Test
    void survivesPausedSlowedKilledAndRestartedProcesses() throws IOException {
        Map<String, Double> figures = run(trouble("dispatcher-stop", "at = \"2s\"; length = \"2s\"; runners = [0]")
                + trouble("dispatcher-slow", "at = \"1s\"; length = \"3s\"; runners = [1]; size = 0.6")
                + trouble("dispatcher-restart", "at = \"1s\"; length = \"1s\"; runners = [2]")
                + trouble("dispatcher-kill", "at = \"5s\"; length = \"1s\"; runners = [1]"));
        assertTrue(
                figures.get("requests_answered") < figures.get("requests"),
                "a stop of 2 s exceeds some client timeouts");
    }

    @Test
    void survivesResetSilentOneSidedDelayedSlowAndFlappingLinks() throws IOException {
        Map<String, Double> figures = run(trouble(
                        "way-silent", "at = \"1s\"; length = \"2s\"; zone = \"a\"; dispatchers = [0]")
                + trouble("way-reset", "at = \"1500ms\"; length = \"2s\"; runners = [1, 2]; dispatchers = [1]")
                + trouble("way-one-sided", "at = \"2s\"; length = \"2s\"; runners = [3]; size = 1")
                + trouble("way-one-sided", "at = \"4s\"; length = \"1s\"; runners = [5]")
                + trouble("way-late", "at = \"3s\"; length = \"2s\"; runners = [4]; size = 100")
                + trouble("way-slow", "at = \"2s\"; length = \"3s\"; runners = [0]; dispatchers = [2]; size = 1")
                + trouble("way-flaps", "at = \"4s\"; length = \"2s\"; zone = \"b\"; dispatchers = [2]; extra = 0.4")
                + trouble("way-reset", "at = \"2s\"; length = \"1s\"; list = true; dispatchers = [0]")
                + trouble("way-silent", "at = \"3s\"; length = \"2s\"; list = true; dispatchers = [1]"));
        assertEquals(figures.get("requests"), figures.get("requests_answered"), "no dispatcher was at fault");
    }
}
