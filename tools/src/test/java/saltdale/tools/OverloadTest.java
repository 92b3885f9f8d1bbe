package saltdale.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltdale.rig.experiment.Run;
import saltdale.rig.experiment.RunResult;
import saltdale.rig.experiment.Version;
import saltdale.rig.judge.Violation;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;

/**
 * Overload levels in real processes with faults, observed by clients, runners and the list. Checks only what must hold
 * on any machine: no rule broken, no process died, and no more level changes than the limit allows.
 */
@Timeout(120)
class OverloadTest {
    private static final String DAY = """
            seed = 3
            length = "6s"
            warm_up = "1s"
            dispatchers = 4
            [overload]
            step = "100ms"
            [fleet]
            runners = 8
            zones = ["a", "b"]
            [[fleet.make]]
            cores = 2
            queue = 24
            cold_from = 0.4
            warm_within = "3s"
            [load]
            utilisation = %s
            retries = 2
            wait = "20ms"
            [[workload]]
            name = "short"
            share = 3
            promised = "400ms"
            patience = "2s"
            size = {kind = "exponential", mean = "100ms"}
            [[workload]]
            name = "long"
            promised = "1s"
            patience = "3s"
            importance = 4
            repeat = "%s"
            size = {kind = "exponential", mean = "600ms"}
            """;

    @TempDir
    Path folder;

    private static String trouble(String text) {
        String[] parts = text.split("; ", 2);
        return "[[trouble]]\nkind = \"" + parts[0] + "\"\n" + parts[1].replace("; ", "\n") + "\n";
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "one stopped for 3 s in the peak        | 1.8 | receipted | dispatcher-stop; at = '2s'; length = '3s'; runners = [0]",
                "half cut from half of the runners      | 1.5 | receipted | way-silent; at = '2s'; length = '3s'; zone = 'a'; dispatchers = [0, 2]",
                "reports that are 5 s old               | 1.8 | receipted | late-reports; at = '0s'; length = '6s'; part = 1.0; size = 5",
                "capacity that swings by half           | 1.0 | receipted | slow; at = '1s'; length = '2s'; part = 1.0; size = 2 & slow; at = '4s'; length = '1s'; part = 1.0; size = 2",
                "one zone slow, a price for crossing    | 1.2 | receipted | slow; at = '1s'; length = '4s'; runners = [0, 2, 4, 6]; size = 3 & zone-cut; at = '3s'; length = '1s'; size = 0",
                "effectful work in a crash              | 1.8 | effectful | crash; at = '2s'; length = '2s'; part = 0.3",
                "a runner that takes a byte a second    | 1.8 | receipted | way-slow; at = '1s'; length = '4s'; runners = [1]; size = 1",
                "the list silent, a third of them lost  | 1.8 | receipted | list-silent; at = '1s'; length = '4s' & crash; at = '2s'; length = '2s'; part = 0.34",
                "seven in ten killed in the peak        | 1.8 | receipted | dispatcher-kill; at = '2s'; length = '2s'; part = 0.7",
            })
    void keepsTheRulesUnderOverload(String name, String load, String repeat, String troubles) throws IOException {
        checkDay(name, load, repeat, troubles);
    }

    @Tag("known-red")
    @Test
    void keepsTheRulesWhenAllClientsReturnAtOnce() throws IOException {
        checkDay(
                "all clients back at one moment",
                "1.8",
                "receipted",
                "dispatcher-kill; at = '2s'; length = '1s'; part = 1.0");
    }

    private void checkDay(String name, String load, String repeat, String troubles) throws IOException {
        StringBuilder text = new StringBuilder(DAY.formatted(load, repeat));
        for (String each : troubles.replace('\'', '"').split(" & ")) {
            text.append(trouble(each));
        }
        Scenario day = new Scenario(TomlTable.of(name, text.toString()));
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
        Map<String, Double> figures = outcome.figures();
        assertEquals(0, figures.get("dispatchers_died"));
        assertTrue(figures.get("fulfilled") > 0);
        String counters = Files.readString(folder.resolve("counters.txt"));
        long changes = counters.lines()
                .filter(line -> line.startsWith("overload_level_changes "))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
        assertTrue(changes <= 10 * (day.length.toSeconds() + day.maxClientTime().toSeconds()), "changes: " + changes);
    }
}
