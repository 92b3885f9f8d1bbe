package saltdale.decision;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Supplier;
import saltdale.model.Assignment;
import saltdale.model.Runner;
import saltdale.model.StandingOrders;

/**
 * Counts where the settings of another shape would have decided otherwise, and changes nothing: the dispatcher's own
 * questions that draw no chance and keep nothing are asked once more under those settings, on the same observed state.
 */
public final class Preview {
    /** Where nothing is to be watched. */
    static final Preview NONE = new Preview();

    /** What may be decided otherwise; each is counted beside how often it was compared. */
    public enum Kind {
        IDLE,
        RUNNER,
        CROSSING,
        SHED
    }

    private final Dispatcher dispatcher;
    private final StandingOrders other;
    private final Map<Kind, long[]> counts = new EnumMap<>(Kind.class);

    /** Begins to watch this dispatcher; workloads, tenants and the round are its own in both. */
    public Preview(Dispatcher dispatcher, StandingOrders other) {
        this.dispatcher = dispatcher;
        this.other = other;
        for (Kind kind : Kind.values()) {
            counts.put(kind, new long[2]);
        }
        dispatcher.preview = this;
    }

    private Preview() {
        this.dispatcher = null;
        this.other = null;
    }

    private <T> T under(StandingOrders orders, Supplier<T> question) {
        StandingOrders own = dispatcher.orders;
        orders.round = own.round;
        orders.endsAt = own.endsAt; // neither is a matter of the shape
        dispatcher.orders = orders;
        try {
            return question.get();
        } finally {
            dispatcher.orders = own;
        }
    }

    private void compare(Kind kind, Supplier<Boolean> question) {
        count(kind, !question.get().equals(under(other, question)));
    }

    private void count(Kind kind, boolean differs) {
        counts.get(kind)[0]++;
        counts.get(kind)[1] += differs ? 1 : 0;
    }

    void probed(Duration now, Assignment a, Runner r) {
        if (other != null && a != null) {
            compare(Kind.IDLE, () -> dispatcher.idle(now, r, a.slots));
        }
    }

    /** One of those probed takes it: which one is asked anew under both, on what is known by now. */
    void chosen(Duration now, Assignment a) {
        if (other == null) {
            return;
        }
        Supplier<Runner> question = () -> best(now, a);
        Runner own = question.get();
        Runner others = under(other, question);
        count(Kind.RUNNER, under(other, () -> cost(now, a, own) > cost(now, a, others)));
        count(Kind.CROSSING, crosses(own) != under(other, () -> crosses(others)));
    }

    private boolean crosses(Runner r) {
        return !r.zone.equals(dispatcher.orders.zone);
    }

    private Runner best(Duration now, Assignment a) {
        Runner best = null;
        for (int i = 0; i < a.probed.size(); i++) {
            Runner r = a.probed.get(i);
            boolean open = a.costs.get(i) < Double.POSITIVE_INFINITY && r.ready() && !r.isSilent(now);
            best = open && (best == null || cost(now, a, r) < cost(now, a, best)) ? r : best;
        }
        return best;
    }

    void taking(Duration now, Assignment a, Runner r) {
        if (other != null) {
            compare(Kind.SHED, () -> dispatcher.late(now, a, r, cost(now, a, r) - dispatcher.toll(now, a, r)));
        }
    }

    private double cost(Duration now, Assignment a, Runner r) {
        return dispatcher.weighed(now, r, dispatcher.load(r), dispatcher.idle(now, r, a.slots))
                + dispatcher.toll(now, a, r);
    }

    /** How often this was decided, and how often otherwise under the other settings. */
    public long compared(Kind kind) {
        return counts.get(kind)[0];
    }

    public long differing(Kind kind) {
        return counts.get(kind)[1];
    }

    /** One line a counter: its name and its figure. */
    public String lines() {
        StringJoiner lines = new StringJoiner("\n", "", "\n");
        for (Kind kind : Kind.values()) {
            String name = "preview_" + kind.name().toLowerCase(Locale.ROOT);
            lines.add(name + "_compared " + compared(kind)).add(name + "_differs " + differing(kind));
        }
        return lines.toString();
    }
}
