package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Route;

/**
 * Runs a short scenario with real processes: a proxy is killed and the configuration is amended, while clients,
 * runners and the operator check the contracts from outside.
 */
public final class EndToEndRun {
    /** The load, and the faults beside the kill of a proxy. */
    public record Scenario(int seconds, double rate, boolean drainWorker, boolean crashWorker) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration STARTUP_LIMIT = Duration.ofSeconds(12);
    private static final Duration RESTART_DELAY = Duration.ofMillis(500);
    private static final Duration WORKER_DOWNTIME = Duration.ofSeconds(3);
    private static final Duration READ_BACK_LIMIT = Duration.ofSeconds(2);
    private static final Duration MAX_LOOP_DELAY = Duration.ofMillis(50);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int FIRST_REVISION = 1;
    private static final int SECOND_REVISION = 3; // revisions need not be consecutive

    private final PlatformStandIn standIn;
    private final Deployment deployment;
    private final NodeProcesses processes;
    private final PrintStream out;
    private final Operator operator;
    private final List<String> failures = new ArrayList<>();
    private ClientLoad clients;
    private volatile boolean acknowledged;
    private volatile JsonNode readBack;

    private EndToEndRun(PlatformStandIn standIn, NodeProcesses processes, PrintStream out) {
        this.standIn = standIn;
        this.deployment = standIn.deployment;
        this.processes = processes;
        this.out = out;
        operator = new Operator(standIn.loopThread, deployment);
    }

    /** Runs the scenario and prints the verdict in one line; returns whether nothing failed. */
    public static boolean run(
            Deployment deployment,
            Scenario scenario,
            Path jar,
            Path folder,
            RunnerFaults faults,
            long seed,
            PrintStream out)
            throws IOException, InterruptedException {
        try (PlatformStandIn standIn = new PlatformStandIn(deployment, faults, seed, folder.resolve("platform.log"));
                NodeProcesses processes = new NodeProcesses(deployment, jar, folder)) {
            return new EndToEndRun(standIn, processes, out).run(scenario, seed);
        }
    }

    private boolean run(Scenario scenario, long seed) throws IOException, InterruptedException {
        processes.startAll();
        runOnLoop(() ->
                clients = new ClientLoad(standIn.loopThread, standIn.origin, deployment, standIn.judge, seed + 1));
        sendChange("Replace", 0, deployment.replacement(FIRST_REVISION), deployment.routes());
        boolean cameUp = waitUntil(
                STARTUP_LIMIT,
                () -> acknowledged && deployment.proxies().stream().allMatch(clients::isInRotation));
        report("configuration " + (acknowledged ? "acknowledged" : "NOT acknowledged") + ", proxies ready "
                + deployment.proxies().stream().filter(clients::isInRotation).count() + " of "
                + deployment.proxies().size());
        if (cameUp) {
            runTraffic(scenario);
            readBack();
        } else {
            failures.add("the system did not become ready in time");
            deployment
                    .machines()
                    .forEach(machine -> out.println("  " + machine.name() + ": " + processes.lastLine(machine)));
        }
        processes
                .exitStatuses()
                .forEach((machine, status) -> failures.add(machine.name() + " ended by itself with status " + status
                        + ": " + processes.lastLine(machine)));
        processes
                .terminateAll(deployment.bounds().grace())
                .forEach(machine -> failures.add(machine.name() + " did not end within "
                        + deployment.bounds().grace().toSeconds() + " s of SIGTERM"));
        return verdict();
    }

    private void runTraffic(Scenario scenario) throws IOException, InterruptedException {
        Duration start = now();
        Judge judge = standIn.judge;
        Machine killedProxy = deployment.proxies().get(deployment.proxies().size() - 1);
        runOnLoop(() -> clients.start(scenario.rate));
        sleepUntil(start, scenario, 0.2);
        report("killing " + killedProxy.name());
        runOnLoop(() -> judge.beginDisturbance(killedProxy.name(), now().plus(STARTUP_LIMIT)));
        processes.kill(killedProxy);
        Duration killed = now();
        Thread.sleep(RESTART_DELAY.toMillis());
        processes.restart(killedProxy);
        boolean cameBack = waitUntil(STARTUP_LIMIT, () -> clients.isReadySince(killedProxy, killed));
        runOnLoop(() -> judge.endDisturbance(killedProxy.name(), now()));
        report(killedProxy.name()
                + (cameBack
                        ? String.format(
                                Locale.ROOT,
                                " ready again after %.1f s",
                                now().minus(killed).toMillis() / 1e3)
                        : " did not become ready again"));
        if (!cameBack) {
            failures.add(killedProxy.name() + " did not become ready again: " + processes.lastLine(killedProxy));
        }
        sleepUntil(start, scenario, 0.4);
        amend();
        sleepUntil(start, scenario, 0.5);
        if (!standIn.faults.isEmpty()) {
            runOnLoop(() -> {
                standIn.faults.setEnabled(true);
                judge.beginDisturbance(null, start.plusSeconds(scenario.seconds));
            });
        }
        if (scenario.drainWorker) {
            runOnLoop(() -> standIn.platform.drain(deployment.workers().get(0).name()));
            report("draining worker " + deployment.workers().get(0).name());
        }
        if (scenario.crashWorker) {
            String worker =
                    deployment.workers().get(deployment.workers().size() - 1).name();
            runOnLoop(() -> {
                judge.beginDisturbance(null, now().plus(WORKER_DOWNTIME));
                standIn.platform.crash(worker, WORKER_DOWNTIME);
            });
            report("worker " + worker + " crashes");
        }
        sleepUntil(start, scenario, 1);
        runOnLoop(clients::end);
        long longest = deployment.routes().stream()
                .mapToLong(route -> route.deadline().toMillis())
                .max()
                .orElse(0);
        waitUntil(Duration.ofMillis(longest + 500), () -> clients.openRequests() == 0);
    }

    /** Amends the configuration; clients call the new routes once it has to be in force. */
    private void amend() {
        sendChange("Amend", FIRST_REVISION, deployment.amendment(SECOND_REVISION), deployment.amendedRoutes());
        if (!waitUntil(Duration.ofSeconds(5), () -> acknowledged)) {
            failures.add("the amendment was not acknowledged within 5 s");
        }
        report("amendment " + (acknowledged ? "acknowledged" : "NOT acknowledged"));
        standIn.loopThread.loop.execute(() -> standIn.loopThread.loop.schedule(
                deployment.bounds().configApply(), () -> clients.routes(deployment.amendedRoutes())));
    }

    /** Sends a configuration change; sets {@link #acknowledged} once it is acknowledged. */
    private void sendChange(String call, int basedOn, ObjectNode body, List<Route> routes) {
        acknowledged = false;
        Judge judge = standIn.judge;
        runOnLoop(() -> {
            int version = judge.recordChangeSent(routes);
            operator.change(call, basedOn, body, answer -> {
                if (answer.status() == 200) {
                    judge.recordChangeAcknowledged(standIn.origin.now(), version);
                    acknowledged = true;
                } else {
                    failures.add("Configuration." + call + " was answered " + answer.status());
                }
            });
        });
    }

    private void readBack() {
        runOnLoop(() -> operator.read(answer -> {
            try {
                readBack = answer.status() == 200 ? JSON.readTree(answer.body()) : null;
            } catch (IOException e) {
                failures.add("the configuration read back is not JSON");
            }
        }));
        waitUntil(READ_BACK_LIMIT, () -> readBack != null);
        JsonNode expected = deployment.configuration(SECOND_REVISION, deployment.amendedRoutes());
        String difference = readBack == null ? "was not returned in time" : difference(expected, readBack);
        if (acknowledged && difference != null) {
            runOnLoop(() -> standIn.judge.recordReadBackMismatch(now(), "the configuration read back " + difference));
        }
    }

    /**
     * Describes the first difference between two configurations, regardless of the order of their items; null if
     * there is none.
     */
    static String difference(JsonNode expected, JsonNode read) {
        for (String section : List.of("revision", "limits")) {
            if (!expected.path(section).toString().equals(read.path(section).toString())
                    && !isSameJson(expected.path(section), read.path(section))) {
                return "has a different " + section + ": " + read.path(section);
            }
        }
        for (String section : List.of("routes", "services")) {
            Set<String> extraNames = new HashSet<>();
            read.path(section).forEach(item -> extraNames.add(item.path("name").asText()));
            for (JsonNode item : expected.path(section)) {
                JsonNode other = null;
                for (JsonNode each : read.path(section)) {
                    other = each.path("name").equals(item.path("name")) ? each : other;
                }
                if (other == null || !isSameJson(item, other)) {
                    return "has other " + section + ": " + (other == null ? "no " + item.path("name") : other);
                }
                extraNames.remove(item.path("name").asText());
            }
            if (!extraNames.isEmpty()) {
                return "has more " + section + ": " + extraNames;
            }
        }
        return null;
    }

    private static boolean isSameJson(JsonNode one, JsonNode other) {
        try {
            return JSON.readTree(one.toString()).equals(JSON.readTree(other.toString()));
        } catch (IOException e) {
            return false;
        }
    }

    private boolean verdict() {
        boolean[] passed = new boolean[1];
        runOnLoop(() -> {
            Judge judge = standIn.judge;
            judge.breachMessages().forEach(line -> out.println("  " + line));
            failures.forEach(line -> out.println("  failed: " + line));
            if (!judge.unservedByService().isEmpty()) {
                out.println("  not served, by how the last try ended: " + judge.unservedByService());
            }
            Duration loopDelay = standIn.loopThread.maxDelay();
            if (loopDelay.compareTo(MAX_LOOP_DELAY) > 0) {
                out.println("  the rig itself was up to " + loopDelay.toMillis()
                        + " ms late: times are this machine's own");
            }
            passed[0] = failures.isEmpty() && judge.breachCount() == 0 && judge.servedCount() > 0;
            out.println((passed[0] ? "passed: " : "FAILED: ") + judge.verdict() + "; " + standIn.platform.summary());
        });
        return passed[0];
    }

    private Duration now() {
        return standIn.origin.now();
    }

    private void runOnLoop(Runnable action) {
        standIn.loopThread.runAndWait(action);
    }

    private void report(String message) {
        out.printf(Locale.ROOT, "%5.1f s  %s%n", now().toMillis() / 1e3, message);
    }

    /** Sleeps until this share of the scenario has passed. */
    private void sleepUntil(Duration start, Scenario scenario, double share) throws InterruptedException {
        Duration extraNames =
                start.plusMillis((long) (share * scenario.seconds * 1000)).minus(now());
        if (!extraNames.isNegative()) {
            Thread.sleep(extraNames.toMillis());
        }
    }

    /** Polls a condition on the loop thread; returns false if it does not hold within the limit. */
    private boolean waitUntil(Duration limit, BooleanSupplier condition) {
        Duration end = now().plus(limit);
        boolean[] holds = new boolean[1];
        while (now().compareTo(end) < 0) {
            runOnLoop(() -> holds[0] = condition.getAsBoolean());
            if (holds[0]) {
                return true;
            }
            try {
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }
}
