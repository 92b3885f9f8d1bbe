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
 * Checks each response to an operator's configuration order against the chosen states: an acknowledged order has
 * produced a revision, a refused one never does, at most one order is applied on each base, and revisions increase.
 */
final class OrdersModel {
    /** An order as an operator sends it; {@code text} occurs in the configuration that it produced and in no other. */
    record Order(boolean amends, long base, long revision, String body, String text) {
        static Order replace(long base, long revision, int extraRoutes) {
            String body = SimOperator.config(revision, extraRoutes).replaceFirst("\\{", "{\"built_on\":" + base + ",");
            return new Order(false, base, revision, body, body);
        }

        /** Sets one route, whose name distinguishes this order from others with the same revision. */
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
            return (amends ? text : "a complete configuration") + " as revision " + revision + " based on " + base;
        }
    }

    private final SimWorld world;
    private final Map<String, String> proposedTexts = new HashMap<>(); // proposed configuration texts, by text key
    private final TreeMap<Long, ReplicatedState> chosen = new TreeMap<>(); // by version
    private final Map<Long, ReplicatedState> chosenByRevision = new HashMap<>();
    private final Map<Long, Order> acknowledged = new HashMap<>(); // by base
    private final Map<Order, Integer> refused = new LinkedHashMap<>();
    int conclusiveResponses;

    OrdersModel(SimWorld world) {
        this.world = world;
        world.messageObserver = this::observe;
    }

    private void observe(Message message) {
        if (message instanceof Accept accept && accept.text() != null) {
            proposedTexts.put(accept.state().textKey(), new String(accept.text(), StandardCharsets.UTF_8));
        } else if (message instanceof Chosen announcement) {
            recordChosen(announcement.state());
        }
    }

    private void recordChosen(ReplicatedState state) {
        if (chosen.put(state.version(), state) != null) {
            return;
        }
        chosenByRevision.putIfAbsent(state.revision(), state);
        Map.Entry<Long, ReplicatedState> before = chosen.lowerEntry(state.version());
        Map.Entry<Long, ReplicatedState> after = chosen.higherEntry(state.version());
        if (before != null && before.getValue().revision() > state.revision()
                || after != null && after.getValue().revision() < state.revision()) {
            reportViolation("revisions decrease", state);
        }
    }

    private void reportViolation(String violation, Object subject) {
        world.violations.add(violation + ": " + subject);
    }

    long newestRevision() {
        return chosen.isEmpty() ? 0 : chosen.lastEntry().getValue().revision();
    }

    /** Whether this order has produced a revision, according to the states chosen so far. */
    private boolean isApplied(Order order) {
        ReplicatedState produced = chosenByRevision.get(order.revision());
        if (produced != null) {
            return proposedTexts.getOrDefault(produced.textKey(), "").contains(order.text());
        }
        // If the proposer stopped before it announced the state, only the next chosen state shows that it was applied.
        return !chosen.isEmpty()
                && RememberedOrders.holds(chosen.lastEntry().getValue(), order.amends(), order.base(), order.body());
    }

    /** Records the response to an order, whether or not the operator received it, and checks it. */
    void recordResponse(Order order, int status) {
        conclusiveResponses += status == 503 ? 0 : 1;
        if (status == 200) {
            Order other = acknowledged.putIfAbsent(order.base(), order);
            if (!order.isValid()) {
                reportViolation("acknowledged although invalid", order);
            } else if (other != null && !other.equals(order)) {
                reportViolation("two orders on the same base acknowledged", order + " and " + other);
            } else if (!isApplied(order)) {
                reportViolation("acknowledged but not chosen", order);
            }
        } else if (status != 503) {
            refused.put(order, status);
            if (isApplied(order)) {
                reportViolation("refused with " + status + " although it was applied", order);
            } else if (order.isValid() && newestRevision() == order.base()) {
                reportViolation("refused with " + status + " on top of the newest revision", order);
            }
        }
    }

    /** Checks at the end that no refused order was applied and that every acknowledged one still is. */
    void checkFinalState() {
        refused.forEach((order, status) -> {
            if (isApplied(order)) {
                reportViolation("refused with " + status + " but applied later", order);
            }
        });
        acknowledged.values().stream()
                .filter(order -> !isApplied(order))
                .forEach(order -> reportViolation("acknowledged but lost", order));
    }
}
