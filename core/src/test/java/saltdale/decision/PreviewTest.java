package saltdale.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.model.Assignment;
import saltdale.model.Runner;
import saltdale.model.StandingOrders;

/** What a preview counts, and that nothing else changes with it. */
class PreviewTest {
    private final Scene scene = new Scene();
    private final StandingOrders other = new StandingOrders();
    private Preview preview = Preview.NONE;
    private Runner full; // of four slots; by live weights three jobs a core are held, and none
    private Runner free;

    private void begin(boolean watched) {
        scene.orders.tellsStart = false;
        scene.orders.zone = other.zone = "home";
        Dispatcher dispatcher = scene.with(2);
        full = dispatcher.runners.get(0);
        free = dispatcher.runners.get(1);
        full.power = free.power / 4;
        full.of.slots = 4;
        full.known = free.known = true;
        scene.arrives(scene.assignment());
        dispatcher.waitPerLoad = 0.5;
        preview = watched ? new Preview(dispatcher, other) : preview;
    }

    /** It counts no difference under the same settings, and one after the change. */
    private void moves(Preview.Kind kind, Runnable question, Runnable change) {
        for (long asked = 1; asked <= 2; asked++) {
            question.run();
            assertEquals(List.of(asked, asked - 1), List.of(preview.compared(kind), preview.differing(kind)));
            change.run();
        }
    }

    private void chosen() {
        Assignment a = scene.assignment();
        List.of(full, free).forEach(r -> a.found(r, 1, 0));
        preview.chosen(Scene.at(1), a);
    }

    @Test
    void idleOrBusyAndShedOrSent() {
        begin(true);
        Runnable live = () -> other.liveWeights = !other.liveWeights;
        moves(Preview.Kind.IDLE, () -> preview.probed(Scene.at(1), scene.assignment(), full), live);
        moves(Preview.Kind.SHED, () -> preview.taking(Scene.at(1), scene.assignment(), full), live);
    }

    @Test
    void theRunnerChosenAndCrossing() {
        begin(true);
        moves(Preview.Kind.RUNNER, this::chosen, () -> other.liveWeights = true);
        assertEquals(0, preview.differing(Preview.Kind.CROSSING), "neither is at home");
        free.zone = "home";
        chosen();
        assertEquals(1, preview.differing(Preview.Kind.CROSSING));
    }

    @Test
    void whatGoesOutIsTheSameWithItAndWithout() {
        assertEquals(new PreviewTest().played(false), played(true));
        assertTrue(preview.differing(Preview.Kind.IDLE) > 0);
    }

    private List<Object> played(boolean watched) {
        begin(watched);
        other.tellsStart = other.liveWeights = true;
        for (int i = 0; i < 20; i++) {
            scene.arrives(scene.assignment());
            scene.finds(i % 3);
        }
        return List.of(
                scene.acts,
                scene.probes.stream().map(r -> r == full).toList(),
                scene.dispatches.stream().map(d -> d.runner == full).toList(),
                scene.dispatcher.probing.meanQueue);
    }
}
