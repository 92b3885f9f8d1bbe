package saltdale.rig.platform.live;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListSet;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Route;

/**
 * Polls all processes of a soak. No invariant may be violated; a proxy in contact has to have in force what was
 * acknowledged {@code config_apply_ms} ago, and may not deny a route of it.
 */
final class SoakObserver implements Runnable {
    /** Is told of each request that the observer is about to send to a runner. */
    interface ProbeRecorder {
        void record(String attemptId, Route route, String request, Machine proxy);
    }

    private static final Duration CALL_LIMIT = Duration.ofSeconds(2);
    private static final long PAUSE_MILLIS = 100;
    private static final String VIOLATION_PREFIX = "invariant_violations_";

    private final SoakCluster cluster;
    private final SoakChanges changes;
    private final SoakContact contact;
    private final long applyNanos;
    private final List<String> failures;
    private final ProbeRecorder probes;
    private final Set<String> reportedViolations = new ConcurrentSkipListSet<>(); // each is reported once
    private volatile int checks;
    private volatile boolean stopped;

    SoakObserver(
            SoakCluster cluster,
            SoakChanges changes,
            SoakContact contact,
            Duration apply,
            List<String> failures,
            ProbeRecorder probes) {
        this.cluster = cluster;
        this.changes = changes;
        this.contact = contact;
        this.failures = failures;
        this.probes = probes;
        applyNanos = apply.toNanos();
    }

    void stop() {
        stopped = true;
    }

    /** The number of checks of a proxy in contact. */
    int checks() {
        return checks;
    }

    @Override
    public void run() {
        while (!stopped) {
            cluster.controlNodes().forEach(each -> readMetrics(each, Machine.CONTROL_PORT));
            cluster.proxies().forEach(this::checkProxy);
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                stopped = true;
            }
        }
    }

    /** Reads the metrics of a machine, and reports violations among them; empty if it does not answer. */
    private Map<String, Long> readMetrics(Machine machine, int port) {
        Map<String, Long> metrics = new TreeMap<>();
        BlockingHttp.Answer answer =
                BlockingHttp.call(machine.ip(), port, "GET", "/metrics", "Host: metrics\r\n", "", CALL_LIMIT);
        if (answer.status() != 200) {
            return metrics;
        }
        answer.body()
                .lines()
                .filter(line -> !line.isBlank())
                .map(line -> line.split(" "))
                .forEach(line -> metrics.put(line[0], Long.valueOf(line[1])));
        metrics.forEach((name, value) -> {
            if (name.startsWith(VIOLATION_PREFIX) && value > 0 && reportedViolations.add(machine.name() + name)) {
                failures.add(machine.name() + ": " + name + " " + value);
            }
        });
        return metrics;
    }

    private void checkProxy(Machine proxy) {
        long dueRevision = changes.newestBy(System.nanoTime() - applyNanos);
        boolean wasInContact = contact.isInContact(proxy.name());
        Map<String, Long> metrics = readMetrics(proxy, Machine.READINESS_PORT);
        String target = SoakChanges.path(dueRevision) + "x";
        String attemptId = "soak-" + System.nanoTime();
        probes.record(attemptId, SoakChanges.route(dueRevision), "GET " + target + " ", proxy);
        BlockingHttp.Answer route = BlockingHttp.call(
                proxy.ip(), Machine.FRONT_PORT, "GET", target, probeHeaders(attemptId), "", CALL_LIMIT);
        if (!wasInContact || !contact.isInContact(proxy.name()) || dueRevision == 0) {
            return;
        }
        checks++;
        long revision = metrics.getOrDefault("configuration_revision", -1L);
        if (metrics.isEmpty()) {
            failures.add(proxy.name() + " is in contact and does not answer");
        } else if (revision < dueRevision) {
            failures.add(proxy.name() + " is in contact and has revision " + revision + ", " + dueRevision
                    + " was due; age " + metrics.get("configuration_age_ms") + " ms");
        }
        if (route.status() == 404) {
            failures.add(proxy.name() + " is in contact and answers 404 to " + SoakChanges.path(dueRevision)
                    + ", revision " + dueRevision + " was due");
        }
    }

    private static String probeHeaders(String attemptId) {
        return "Host: soak.example\r\nX-Saltdale-Attempt-Id: " + attemptId
                + "\r\nX-Saltdale-Deadline-Remaining: 600\r\n";
    }
}
