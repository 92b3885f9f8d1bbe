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
    private static final int SOAK_ROUTES = 4; // the most recent of these routes that a configuration contains
    private static final int MAX_REVISION_STEP = 3; // revisions need not be consecutive

    private final Deployment deployment;
    private final List<String> failures;
    private final Map<Long, Change> acknowledged = new HashMap<>(); // by base revision
    private final Map<Long, List<String>> offered = new HashMap<>(); // bodies sent, by revision
    private final TreeMap<Long, Long> acknowledgedAt = new TreeMap<>(); // newest revision, by nanoTime
    private long newestAcknowledged;
    private long newestKnown; // newest revision acknowledged or read
    private int sent;
    private int resent;

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
        ObjectNode tree = deployment.configuration(Math.toIntExact(revision), routes(revision));
        tree.put("remark", marker);
        if (!isValid) {
            ((ObjectNode) tree.withArray("/routes").get(0)).put("timeout_ms", 0);
        }
        Change change = new Change(newestKnown, revision, tree.toString(), isValid);
        offered.computeIfAbsent(revision, r -> new ArrayList<>()).add(change.body());
        sent++;
        return change;
    }

    private List<Route> routes(long revision) {
        List<Route> routes = new ArrayList<>(deployment.routes());
        long last = revision / REVISIONS_PER_ROUTE;
        for (long bucket = Math.max(0, last - SOAK_ROUTES + 1); bucket <= last; bucket++) {
            routes.add(new Route(
                    "r-soak-" + bucket,
                    "soak.example",
                    path(bucket * REVISIONS_PER_ROUTE),
                    true,
                    "press-1",
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(5),
                    0));
        }
        return routes;
    }

    /**
     * The path prefix of a route that is part of every configuration from this revision on, until {@link
     * #SOAK_ROUTES} newer routes have replaced it.
     */
    static String path(long revision) {
        return "/soak-" + revision / REVISIONS_PER_ROUTE + "/";
    }

    synchronized void recordResend() {
        resent++;
    }

    synchronized void recordAcknowledged(Change change, String by) {
        Change other = acknowledged.putIfAbsent(change.base(), change);
        if (!change.isValid()) {
            failures.add(by + " acknowledged an invalid order, revision " + change.revision());
        } else if (other != null && !other.equals(change)) {
            failures.add(by + " acknowledged " + change.revision() + " on " + change.base() + ", on which "
                    + other.revision() + " was acknowledged before");
        }
        newestKnown = Math.max(newestKnown, change.revision());
        if (change.revision() > newestAcknowledged) {
            newestAcknowledged = change.revision();
            acknowledgedAt.put(System.nanoTime(), newestAcknowledged);
        }
    }

    /** Records a 4xx answer; a valid change may be refused only with 412, and never once it was acknowledged. */
    synchronized void recordRefused(Change change, int status, String by) {
        boolean validAndNotConflicting = change.isValid() && status != 412;
        if (validAndNotConflicting || change.equals(acknowledged.get(change.base()))) {
            failures.add(by + " answered " + status + " to revision " + change.revision() + " on " + change.base()
                    + (validAndNotConflicting ? ", which is proper" : ", which was acknowledged"));
        }
    }

    /**
     * Records a control node's answer to a read.
     *
     * @param minRevision the newest acknowledged revision when the read was sent
     */
    synchronized void recordRead(long revision, String body, long minRevision, String by) {
        if (revision < minRevision) {
            failures.add(by + " reads revision " + revision + ", " + minRevision + " was acknowledged before");
        } else if (revision > 0 && !offered.getOrDefault(revision, List.of()).contains(body.strip())) {
            failures.add(by + " reads revision " + revision + " that nobody sent so");
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
        return sent + " orders, " + resent + " sent again, " + acknowledged.size() + " acknowledged, revision "
                + newestAcknowledged;
    }
}
