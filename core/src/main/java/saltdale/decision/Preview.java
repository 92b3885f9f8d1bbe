package saltdale.decision;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Supplier;
import saltdale.model.DispatcherSettings;
import saltdale.model.Request;
import saltdale.model.Runner;

/**
 * Counts the decisions that would differ under other settings, without any effect on the dispatcher: queries of the
 * dispatcher that use no random numbers and modify nothing are repeated under those settings on the same state.
 */
public final class Preview {
    /** A preview that compares nothing. */
    static final Preview NONE = new Preview();

    /** The kinds of decisions compared; for each, comparisons and differences are counted. */
    public enum Kind {
        IDLE,
        RUNNER,
        CROSSING,
        SHED
    }

    private final Dispatcher dispatcher;
    private final DispatcherSettings otherSettings;
    private final Map<Kind, long[]> counts = new EnumMap<>(Kind.class);

    /** Attaches to a dispatcher; its own workloads, tenants and round interval apply under both settings. */
    public Preview(Dispatcher dispatcher, DispatcherSettings otherSettings) {
        this.dispatcher = dispatcher;
        this.otherSettings = otherSettings;
        for (Kind kind : Kind.values()) {
            counts.put(kind, new long[2]);
        }
        dispatcher.preview = this;
    }

    private Preview() {
        this.dispatcher = null;
        this.otherSettings = null;
    }

    private <T> T withSettings(DispatcherSettings settings, Supplier<T> question) {
        DispatcherSettings ownSettings = dispatcher.settings;
        settings.roundInterval = ownSettings.roundInterval;
        settings.shutdownAt = ownSettings.shutdownAt; // neither is subject to the comparison
        dispatcher.settings = settings;
        try {
            return question.get();
        } finally {
            dispatcher.settings = ownSettings;
        }
    }

    private void compare(Kind kind, Supplier<Boolean> question) {
        count(kind, !question.get().equals(withSettings(otherSettings, question)));
    }

    private void count(Kind kind, boolean differs) {
        counts.get(kind)[0]++;
        counts.get(kind)[1] += differs ? 1 : 0;
    }

    void onProbeResult(Duration now, Request request, Runner runner) {
        if (otherSettings != null && request != null) {
            compare(Kind.IDLE, () -> dispatcher.isIdle(now, runner, request.slots));
        }
    }

    /** Compares the best probed runner under both settings, on the current state. */
    void onRunnerChosen(Duration now, Request request) {
        if (otherSettings == null) {
            return;
        }
        Supplier<Runner> question = () -> best(now, request);
        Runner ownChoice = question.get();
        Runner otherChoice = withSettings(otherSettings, question);
        count(
                Kind.RUNNER,
                withSettings(otherSettings, () -> cost(now, request, ownChoice) > cost(now, request, otherChoice)));
        count(Kind.CROSSING, isCrossZone(ownChoice) != withSettings(otherSettings, () -> isCrossZone(otherChoice)));
    }

    private boolean isCrossZone(Runner runner) {
        return !runner.zone.equals(dispatcher.settings.zone);
    }

    private Runner best(Duration now, Request request) {
        Runner best = null;
        for (int i = 0; i < request.probedRunners.size(); i++) {
            Runner runner = request.probedRunners.get(i);
            boolean open = request.probedCosts.get(i) < Double.POSITIVE_INFINITY
                    && runner.isReady()
                    && !runner.isUnresponsive(now);
            best = open && (best == null || cost(now, request, runner) < cost(now, request, best)) ? runner : best;
        }
        return best;
    }

    void onLatenessCheck(Duration now, Request request, Runner runner) {
        if (otherSettings != null) {
            compare(
                    Kind.SHED,
                    () -> dispatcher.isLate(
                            now,
                            request,
                            runner,
                            cost(now, request, runner) - dispatcher.extraLoad(now, request, runner)));
        }
    }

    private double cost(Duration now, Request request, Runner runner) {
        return dispatcher.adjustedLoad(
                        now, runner, dispatcher.load(runner), dispatcher.isIdle(now, runner, request.slots))
                + dispatcher.extraLoad(now, request, runner);
    }

    /** The number of decisions of this kind that were compared. */
    public long compared(Kind kind) {
        return counts.get(kind)[0];
    }

    /** The number of compared decisions that differed under the other settings. */
    public long differing(Kind kind) {
        return counts.get(kind)[1];
    }

    /** The counters as text, one "name value" pair per line. */
    public String lines() {
        StringJoiner lines = new StringJoiner("\n", "", "\n");
        for (Kind kind : Kind.values()) {
            String name = "preview_" + kind.name().toLowerCase(Locale.ROOT);
            lines.add(name + "_compared " + compared(kind)).add(name + "_differs " + differing(kind));
        }
        return lines.toString();
    }
}
