package saltdale.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.model.DispatcherSettings;
import saltdale.model.Request;
import saltdale.model.Runner;

/** The counts of a preview, and that it has no effect on the dispatcher. */
class PreviewTest {
    private final DispatcherFixture fixture = new DispatcherFixture();
    private final DispatcherSettings otherSettings = new DispatcherSettings();
    private Preview preview = Preview.NONE;
    private Runner full; // four slots; load-based weights imply three jobs per slot here and none at the other
    private Runner free;

    private void create(boolean withPreview) {
        fixture.settings.reportsStart = false;
        fixture.settings.zone = otherSettings.zone = "home";
        Dispatcher dispatcher = fixture.createWithRunners(2);
        full = dispatcher.runners.get(0);
        free = dispatcher.runners.get(1);
        full.weight = free.weight / 4;
        full.typeStats.slots = 4;
        full.contacted = free.contacted = true;
        fixture.sendRequest(fixture.newRequest());
        dispatcher.waitPerLoad = 0.5;
        preview = withPreview ? new Preview(dispatcher, otherSettings) : preview;
    }

    /** Counts no difference under equal settings, and one after the change. */
    private void assertDiffersAfter(Preview.Kind kind, Runnable decision, Runnable change) {
        for (long count = 1; count <= 2; count++) {
            decision.run();
            assertEquals(List.of(count, count - 1), List.of(preview.compared(kind), preview.differing(kind)));
            change.run();
        }
    }

    private void chooseRunner() {
        Request request = fixture.newRequest();
        List.of(full, free).forEach(runner -> request.addProbeResult(runner, 1, 0));
        preview.onRunnerChosen(DispatcherFixture.at(1), request);
    }

    @Test
    void countsDifferencesOfIdleAndShedDecisions() {
        create(true);
        Runnable toggleLoadBasedWeights = () -> otherSettings.loadBasedWeights = !otherSettings.loadBasedWeights;
        assertDiffersAfter(
                Preview.Kind.IDLE,
                () -> preview.onProbeResult(DispatcherFixture.at(1), fixture.newRequest(), full),
                toggleLoadBasedWeights);
        assertDiffersAfter(
                Preview.Kind.SHED,
                () -> preview.onLatenessCheck(DispatcherFixture.at(1), fixture.newRequest(), full),
                toggleLoadBasedWeights);
    }

    @Test
    void countsDifferencesOfRunnerAndZoneDecisions() {
        create(true);
        assertDiffersAfter(Preview.Kind.RUNNER, this::chooseRunner, () -> otherSettings.loadBasedWeights = true);
        assertEquals(0, preview.differing(Preview.Kind.CROSSING), "neither is in the own zone");
        free.zone = "home";
        chooseRunner();
        assertEquals(1, preview.differing(Preview.Kind.CROSSING));
    }

    @Test
    void previewDoesNotChangeActions() {
        assertEquals(new PreviewTest().run(false), run(true));
        assertTrue(preview.differing(Preview.Kind.IDLE) > 0);
    }

    private List<Object> run(boolean withPreview) {
        create(withPreview);
        otherSettings.reportsStart = otherSettings.loadBasedWeights = true;
        for (int i = 0; i < 20; i++) {
            fixture.sendRequest(fixture.newRequest());
            fixture.answerLastProbe(i % 3);
        }
        return List.of(
                fixture.actions,
                fixture.probes.stream().map(runner -> runner == full).toList(),
                fixture.attempts.stream().map(attempt -> attempt.runner == full).toList(),
                fixture.dispatcher.probing.meanQueue);
    }
}
