package saltdale.proxy;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import saltdale.control.RememberedOrders;
import saltdale.control.ReplicatedState;
import saltdale.control.message.BallotMessage.Accept;
import saltdale.control.message.BallotMessage.Chosen;
import saltdale.control.message.Message;

/**
 * Judges each answer to an operator's order against the states that were chosen: an acknowledged order made a
 * revision, a refused one never does, one order is taken on each base, and revisions rise.
 */
final class OrdersModel {
    /** An order as an operator sends it; {@code text} stands in a configuration that it made, and in no other. */
    record Order(boolean amends, long base, long revision, String body, String text) {
        static Order replace(long base, long revision, int further) {
            String body = SimOperator.config(revision, further).replaceFirst("\\{", "{\"built_on\":" + base + ",");
            return new Order(false, base, revision, body, body);
        }

        /** Sets one route, whose name tells this order from others of its revision. */
        static Order amend(long base, long revision, String mark) {
            String name = "r-" + mark + "-" + base;
            String route = SimOperator.route(name, "/" + mark + "/" + base + "/", "idempotent", "fn");
            String body = "{\"revision\":" + revision + ",\"set_items\":{\"routes\":[" + route + "]}}";
            return new Order(true, base, revision, body, "\"" + name + "\"");
        }

        boolean isValid() {
            return revision > base;
        }

        @Override
        public String toString() {
            return (amends ? text : "a whole configuration") + " as revision " + revision + " on " + base;
        }
    }

    private final SimWorld world;
    private final Map<String, String> texts = new HashMap<>(); // as put forward, by key
    private final TreeMap<Long, ReplicatedState> chosen = new TreeMap<>(); // by version
    private final Map<Long, ReplicatedState> byRevision = new HashMap<>();
    private final Map<Long, Order> acknowledged = new HashMap<>(); // by base
    private final Map<Order, Integer> refused = new LinkedHashMap<>();
    int clearAnswers;

    OrdersModel(SimWorld world) {
        this.world = world;
        world.messageObserver = this::sees;
    }

    private void sees(Message message) {
        if (message instanceof Accept accept && accept.text() != null) {
            texts.put(accept.state().textKey(), new String(accept.text(), StandardCharsets.UTF_8));
        } else if (message instanceof Chosen news) {
            isChosen(news.state());
        }
    }

    private void isChosen(ReplicatedState state) {
        if (chosen.put(state.version(), state) != null) {
            return;
        }
        byRevision.putIfAbsent(state.revision(), state);
        Map.Entry<Long, ReplicatedState> before = chosen.lowerEntry(state.version());
        Map.Entry<Long, ReplicatedState> after = chosen.higherEntry(state.version());
        if (before != null && before.getValue().revision() > state.revision()
                || after != null && after.getValue().revision() < state.revision()) {
            fault("revisions fall", state);
        }
    }

    private void fault(String what, Object of) {
        world.violations.add(what + ": " + of);
    }

    long newestRevision() {
        return chosen.isEmpty() ? 0 : chosen.lastEntry().getValue().revision();
    }

    /** Whether this order made a revision, by what was chosen so far. */
    private boolean isTaken(Order order) {
        ReplicatedState made = byRevision.get(order.revision());
        if (made != null) {
            return texts.getOrDefault(made.textKey(), "").contains(order.text());
        }
        // A state whose proposer ended before it could tell of it is known by the next one alone.
        return !chosen.isEmpty()
                && RememberedOrders.holds(chosen.lastEntry().getValue(), order.amends(), order.base(), order.body());
    }

    /** An answer came. */
    void answered(Order order, int status) {
        clearAnswers += status == 503 ? 0 : 1;
        if (status == 200) {
            Order other = acknowledged.putIfAbsent(order.base(), order);
            if (!order.isValid()) {
                fault("acknowledged though it is invalid", order);
            } else if (other != null && !other.equals(order)) {
                fault("two orders on one base are acknowledged", order + " and " + other);
            } else if (!isTaken(order)) {
                fault("acknowledged and not chosen", order);
            }
        } else if (status != 503) {
            refused.put(order, status);
            if (isTaken(order)) {
                fault("refused with " + status + " though it was taken", order);
            } else if (order.isValid() && newestRevision() == order.base()) {
                fault("refused with " + status + " on top of the newest revision", order);
            }
        }
    }

    /** At the end: what was refused stays untaken, what was acknowledged stays taken. */
    void over() {
        refused.forEach((order, status) -> {
            if (isTaken(order)) {
                fault("refused with " + status + " and taken later", order);
            }
        });
        acknowledged.values().stream()
                .filter(order -> !isTaken(order))
                .forEach(order -> fault("acknowledged and lost", order));
    }
}
