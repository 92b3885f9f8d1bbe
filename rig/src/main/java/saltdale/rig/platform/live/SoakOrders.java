package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltdale.rig.platform.Route;
import saltdale.rig.platform.Site;

/**
 * What the operators of a soak have sent and were answered, and what follows from that: one order is acknowledged on
 * each base, an order that was taken is never refused, nothing older is read than what was acknowledged before.
 */
final class SoakOrders {
    /** A change as it is sent, again and again, until there is a clear answer. */
    record Order(long base, long revision, String body, boolean isValid) {}

    private static final int BUCKET = 20; // revisions that add the same route
    private static final int KEPT_BUCKETS = 4; // so many of these routes a configuration has
    private static final int MOST_STEP = 3; // revisions rise by uneven steps

    private final Site site;
    private final List<String> faults;
    private final Map<Long, Order> acknowledged = new HashMap<>(); // by base
    private final Map<Long, List<String>> offered = new HashMap<>(); // bodies, by revision
    private final TreeMap<Long, Long> acknowledgedAt = new TreeMap<>(); // newest revision, by nanoTime
    private long newest;
    private long known; // the newest revision acknowledged or read
    private int sent;
    private int again;

    SoakOrders(Site site, List<String> faults) {
        this.site = site;
        this.faults = faults;
        acknowledgedAt.put(Long.MIN_VALUE, 0L);
    }

    /** The next change on what is known to be newest; {@code step} and {@code marker} tell two of one base apart. */
    synchronized Order next(int step, String marker, boolean isValid) {
        long revision = known + 1 + Math.floorMod(step, MOST_STEP);
        ObjectNode tree = site.configuration(Math.toIntExact(revision), routes(revision));
        tree.put("remark", marker);
        if (!isValid) {
            ((ObjectNode) tree.withArray("/routes").get(0)).put("timeout_ms", 0);
        }
        Order order = new Order(known, revision, tree.toString(), isValid);
        offered.computeIfAbsent(revision, r -> new ArrayList<>()).add(order.body());
        sent++;
        return order;
    }

    private List<Route> routes(long revision) {
        List<Route> routes = new ArrayList<>(site.routes());
        long last = revision / BUCKET;
        for (long bucket = Math.max(0, last - KEPT_BUCKETS + 1); bucket <= last; bucket++) {
            routes.add(new Route(
                    "r-soak-" + bucket,
                    "soak.example",
                    path(bucket * BUCKET),
                    true,
                    "press-1",
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(5),
                    0));
        }
        return routes;
    }

    /** The prefix of a route that every configuration has from this revision on, for as long as matters. */
    static String path(long revision) {
        return "/soak-" + revision / BUCKET + "/";
    }

    synchronized void sentAgain() {
        again++;
    }

    synchronized void acknowledged(Order order, String by) {
        Order other = acknowledged.putIfAbsent(order.base(), order);
        if (!order.isValid()) {
            faults.add(by + " acknowledged an invalid order, revision " + order.revision());
        } else if (other != null && !other.equals(order)) {
            faults.add(by + " acknowledged " + order.revision() + " on " + order.base() + ", on which "
                    + other.revision() + " was acknowledged before");
        }
        known = Math.max(known, order.revision());
        if (order.revision() > newest) {
            newest = order.revision();
            acknowledgedAt.put(System.nanoTime(), newest);
        }
    }

    synchronized void refused(Order order, int status, String by) {
        boolean proper = order.isValid() && status != 412;
        if (proper || order.equals(acknowledged.get(order.base()))) {
            faults.add(by + " answered " + status + " to revision " + order.revision() + " on " + order.base()
                    + (proper ? ", which is proper" : ", which was acknowledged"));
        }
    }

    /** A control node answered a read that was sent when {@code least} was the newest acknowledged revision. */
    synchronized void read(long revision, String body, long least, String by) {
        if (revision < least) {
            faults.add(by + " reads revision " + revision + ", " + least + " was acknowledged before");
        } else if (revision > 0 && !offered.getOrDefault(revision, List.of()).contains(body.strip())) {
            faults.add(by + " reads revision " + revision + " that nobody sent so");
        }
        known = Math.max(known, revision);
    }

    synchronized long newest() {
        return newest;
    }

    /** The newest revision that was acknowledged by this moment of {@link System#nanoTime}. */
    synchronized long newestBy(long nanos) {
        return acknowledgedAt.floorEntry(nanos).getValue();
    }

    synchronized String figures() {
        return sent + " orders, " + again + " sent again, " + acknowledged.size() + " acknowledged, revision " + newest;
    }
}
