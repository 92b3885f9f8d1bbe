package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Route;

/**
 * Records the changes that the operators of a soak sent and the answers they got, and checks what follows: one change
 * at most is acknowledged on each base revision, an accepted change is never refused later, and no read returns a
 * revision older than one acknowledged before.
 */
final class SoakChanges {
    /** A change with the revision it is based on; it is resent unchanged until the answer is conclusive. */
    record Change(long base, long revision, String body, boolean isValid) {}

    private static final int REVISIONS_PER_ROUTE = 20; // consecutive revisions that add the same route
    /** How many of these routes a configuration contains: those of more revisions than are made during a probe. */
    private static final int SOAK_ROUTES = 10;

    private static final int MAX_REVISION_STEP = 3; // revisions need not be consecutive

    private final Deployment deployment;
    private final List<String> failures;
    private final Map<Long, Change> acknowledged = new HashMap<>(); // by base revision
    private final Map<Long, List<String>> sentBodies = new HashMap<>(); // bodies sent, by revision
    private final TreeMap<Long, Long> acknowledgedAt = new TreeMap<>(); // newest revision, by nanoTime
    private long newestAcknowledged;
    private long newestKnown; // newest revision acknowledged or read
    private int sentCount;
    private int resentCount;

    SoakChanges(Deployment deployment, List<String> failures) {
        this.deployment = deployment;
        this.failures = failures;
        acknowledgedAt.put(Long.MIN_VALUE, 0L);
    }

    /**
     * Creates a change based on the newest known revision; {@code step} and {@code marker} distinguish changes with
     * the same base.
     */
    synchronized Change next(int step, String marker, boolean isValid) {
        long revision = newestKnown + 1 + Math.floorMod(step, MAX_REVISION_STEP);
        ObjectNode configuration = deployment.configuration(Math.toIntExact(revision), routes(revision));
        configuration.put("remark", marker);
        if (!isValid) {
            ((ObjectNode) configuration.withArray("/routes").get(0)).put("timeout_ms", 0);
        }
        Change change = new Change(newestKnown, revision, configuration.toString(), isValid);
        sentBodies.computeIfAbsent(revision, r -> new ArrayList<>()).add(change.body());
        sentCount++;
        return change;
    }

    private List<Route> routes(long revision) {
        List<Route> routes = new ArrayList<>(deployment.routes());
        long last = revision / REVISIONS_PER_ROUTE;
        for (long bucket = Math.max(0, last - SOAK_ROUTES + 1); bucket <= last; bucket++) {
            routes.add(route(bucket * REVISIONS_PER_ROUTE));
        }
        return routes;
    }

    /** The route with the prefix {@link #path} of this revision. */
    static Route route(long revision) {
        return new Route(
                "r-soak-" + revision / REVISIONS_PER_ROUTE,
                "soak.example",
                path(revision),
                true,
                "press-1",
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                0);
    }

    /**
     * The path prefix of a route that is part of every configuration from this revision on, until newer routes
     * have replaced it after {@link #SOAK_ROUTES} buckets of revisions.
     */
    static String path(long revision) {
        return "/soak-" + revision / REVISIONS_PER_ROUTE + "/";
    }

    synchronized void recordResend() {
        resentCount++;
    }

    synchronized void recordAcknowledged(Change change, String nodeName) {
        Change other = acknowledged.putIfAbsent(change.base(), change);
        if (!change.isValid()) {
            failures.add(nodeName + " acknowledged an invalid change, revision " + change.revision());
        } else if (other != null && !other.equals(change)) {
            failures.add(nodeName + " acknowledged revision " + change.revision() + " based on revision "
                    + change.base() + ", on which revision " + other.revision() + " was acknowledged before");
        }
        newestKnown = Math.max(newestKnown, change.revision());
        if (change.revision() > newestAcknowledged) {
            newestAcknowledged = change.revision();
            acknowledgedAt.put(System.nanoTime(), newestAcknowledged);
        }
    }

    /** Records a 4xx answer; a valid change may be refused only with 412, and never once it was acknowledged. */
    synchronized void recordRefused(Change change, int status, String nodeName) {
        boolean mustBeAccepted = change.isValid() && status != 412;
        if (mustBeAccepted || change.equals(acknowledged.get(change.base()))) {
            failures.add(nodeName + " answered " + status + " to revision " + change.revision() + " based on revision "
                    + change.base() + (mustBeAccepted ? ", which is valid" : ", which was acknowledged"));
        }
    }

    /**
     * Records a control node's answer to a read.
     *
     * @param minRevision the newest acknowledged revision when the read was sent
     */
    synchronized void recordRead(long revision, String body, long minRevision, String nodeName) {
        if (revision < minRevision) {
            failures.add(nodeName + " returned revision " + revision + ", " + minRevision + " was acknowledged before");
        } else if (revision > 0 && !sentBodies.getOrDefault(revision, List.of()).contains(body.strip())) {
            failures.add(nodeName + " returned revision " + revision + " with a body that no operator sent");
        }
        newestKnown = Math.max(newestKnown, revision);
    }

    synchronized long newestAcknowledged() {
        return newestAcknowledged;
    }

    /** The newest revision that was acknowledged by this value of {@link System#nanoTime}. */
    synchronized long newestBy(long nanos) {
        return acknowledgedAt.floorEntry(nanos).getValue();
    }

    synchronized String summary() {
        return sentCount + " orders, " + resentCount + " sent again, " + acknowledged.size()
                + " acknowledged, revision " + newestAcknowledged;
    }
}
