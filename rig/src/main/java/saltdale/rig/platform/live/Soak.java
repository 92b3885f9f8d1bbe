package saltdale.rig.platform.live;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Machine;

/**
 * A soak test of real processes on real sockets. Two operators change the configuration all the time and lose
 * answers, clients use the connections that they have until the process is gone, two or three series of faults and
 * signals overlap in each bout, one control node gets many reads at once, and an observer checks the proxies in
 * contact. At the end one control node loses its disk at the moment at which all other machines, proxies included, are
 * killed.
 */
public final class Soak {
    private static final Duration STARTUP_LIMIT = Duration.ofSeconds(20);
    private static final Duration QUIET_PERIOD = Duration.ofMillis(6_500); // contact_ms, and some time for checks
    private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(5); // catch_up_s, and a margin
    private static final long TERMINATION_GRACE_MILLIS = 6_000;
    private static final int MAX_START_OFFSET_MILLIS = 1_500;
    private static final int MIN_FAULT_MILLIS = 200;
    private static final int MAX_FAULT_MILLIS = 5_000;
    private static final double SERIES_SHARE = 0.5; // of the faults are followed by another one of the same machine
    private static final int MAX_SERIES_PAUSE_MILLIS = 400;
    private static final double DISK_LOSS_SHARE = 0.4; // of the bouts begin with the loss of a disk

    /** The number of reads that wait at one control node at once, unless another factor is set. */
    private static final int FLOOD_READS = 1000;

    /** An action at a set time of a bout. */
    private interface Action {
        void run() throws IOException;
    }

    private record Step(long atMillis, Action action) {}

    private final SoakCluster cluster;
    private final SoakContact contact;
    private final SoakContact unplannedFaults; // by which machines are in contact but for planned work
    private final SoakChanges changes;
    private final SoakObserver observer;
    private final SoakClients clients;
    private final List<SoakOperator> operators;
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final Map<SoakFault, Integer> faultCounts = new EnumMap<>(SoakFault.class);
    private final SplittableRandom random;
    private final PrintStream out;
    private final List<Thread> threads = new ArrayList<>();
    private final Duration acknowledgeLimit;
    private final int floodReads;
    private final SplittableRandom floodRandom;

    private Soak(SoakCluster cluster, PlatformStandIn standIn, double floodFactor, long seed, PrintStream out) {
        this.cluster = cluster;
        Deployment deployment = standIn.deployment;
        this.out = out;
        random = new SplittableRandom(seed);
        floodRandom = new SplittableRandom(~seed);
        floodReads = (int) (FLOOD_READS * floodFactor);
        acknowledgeLimit = deployment.bounds().acknowledge();
        contact = new SoakContact(deployment.bounds().contact());
        changes = new SoakChanges(deployment, failures);
        unplannedFaults = new SoakContact(deployment.bounds().contact());
        clients = new SoakClients(standIn, unplannedFaults, failures, seed);
        observer = new SoakObserver(
                cluster, changes, contact, deployment.bounds().configApply(), failures, clients::recordProbe);
        operators = List.of(
                new SoakOperator(cluster, changes, "a", random.nextLong()),
                new SoakOperator(cluster, changes, "b", random.nextLong()));
    }

    /**
     * Runs the soak with one seed and prints the result; returns whether nothing failed.
     *
     * @param program the arguments of {@code java} that name the program
     * @param folder the folder of settings, disks and logs
     * @param floodFactor the number of reads that wait at one control node at once in each bout, in thousands
     */
    public static boolean run(
            Deployment deployment,
            List<String> program,
            Path folder,
            int bouts,
            double floodFactor,
            long seed,
            PrintStream out)
            throws IOException, InterruptedException {
        try (PlatformStandIn standIn = new PlatformStandIn(deployment, new RunnerFaults(Map.of(), seed), seed, null);
                SoakCluster cluster = new SoakCluster(deployment, program, folder)) {
            Soak soak = new Soak(cluster, standIn, floodFactor, seed, out);
            try {
                soak.runBouts(bouts);
            } finally {
                soak.stopThreads();
            }
            return soak.verdict(seed);
        }
    }

    private void runBouts(int bouts) throws IOException, InterruptedException {
        cluster.startAll();
        operators.forEach(this::startThread);
        if (!waitUntil(STARTUP_LIMIT, () -> allProxiesHave(1))) {
            failures.add("the proxies did not become ready in time");
            return;
        }
        startThread(observer);
        clients.start();
        for (int i = 0; i < bouts && failures.isEmpty(); i++) {
            runBout();
            Thread.sleep(QUIET_PERIOD.toMillis());
        }
        if (failures.isEmpty()) {
            runClosingFault();
        }
    }

    private void startThread(Runnable task) {
        Thread thread = new Thread(task, task.getClass().getSimpleName());
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    private void stopThreads() throws InterruptedException {
        operators.forEach(SoakOperator::stop);
        clients.stop();
        observer.stop();
        for (Thread thread : threads) {
            thread.join(STARTUP_LIMIT.toMillis());
        }
    }

    // Faults of machines.

    /** Runs two or three overlapping faults until all of them are over. */
    private void runBout() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        boolean loss = random.nextDouble() < DISK_LOSS_SHARE && contact.isCoreUndisturbedFor(CATCH_UP_LIMIT);
        int count = 2 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            // While a control node has lost its disk only proxies may get further faults.
            SoakFault fault = loss && i == 0
                    ? SoakFault.drawDiskLoss(random)
                    : SoakFault.draw(random, loss || random.nextInt(3) == 0);
            long startMillis = random.nextInt(MAX_START_OFFSET_MILLIS);
            long endMillis = startMillis + MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS);
            Machine machine = plan(steps, fault, startMillis, endMillis);
            if (!fault.losesDisk()) {
                planSeries(steps, machine, fault.targetsProxy(), endMillis);
            }
        }
        Thread flood = startFlood(steps);
        execute(steps);
        flood.join(STARTUP_LIMIT.toMillis());
    }

    /** Sends many reads to a control node, right after one of the steps. */
    private Thread startFlood(List<Step> steps) {
        List<Machine> controlNodes = cluster.controlNodes();
        Machine machine = controlNodes.get(floodRandom.nextInt(controlNodes.size()));
        long delayMillis = steps.get(floodRandom.nextInt(steps.size())).atMillis();
        SoakFlood flood = new SoakFlood(machine, floodReads, acknowledgeLimit, contact, changes, failures);
        Thread thread = new Thread(
                () -> {
                    try {
                        Thread.sleep(delayMillis);
                        report(floodReads + " reads at once at " + machine.name());
                        flood.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "flood");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Plans further faults of a machine, each soon after the end of the one before. */
    private void planSeries(List<Step> steps, Machine machine, boolean targetsProxy, long firstEndMillis) {
        long endMillis = firstEndMillis;
        while (random.nextDouble() < SERIES_SHARE) {
            long startMillis = endMillis + random.nextInt(MAX_SERIES_PAUSE_MILLIS);
            endMillis = startMillis + MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS / 2);
            plan(steps, SoakFault.draw(random, targetsProxy), machine, startMillis, endMillis);
        }
    }

    private void execute(List<Step> steps) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        steps.sort(Comparator.comparingLong(Step::atMillis));
        for (Step step : steps) {
            long wait = step.atMillis - (System.nanoTime() - begun) / 1_000_000;
            if (wait > 0) {
                Thread.sleep(wait);
            }
            step.action.run();
        }
    }

    /** Plans a fault of a random machine, which is returned. */
    private Machine plan(List<Step> steps, SoakFault fault, long startMillis, long endMillis) {
        List<Machine> candidates = fault.targetsProxy() ? cluster.proxies() : cluster.controlNodes();
        Machine machine = candidates.get(random.nextInt(candidates.size()));
        plan(steps, fault, machine, startMillis, endMillis);
        return machine;
    }

    private void plan(List<Step> steps, SoakFault fault, Machine machine, long startMillis, long endMillis) {
        Machine other =
                cluster.controlNodes().get(random.nextInt(cluster.controlNodes().size()));
        boolean[] applied = new boolean[1];
        steps.add(new Step(startMillis, () -> {
            applied[0] = contact.isFree(machine.name()); // one fault per machine at a time
            if (applied[0]) {
                faultCounts.merge(fault, 1, Integer::sum);
                report(fault + " " + machine.name());
                contact.begin(machine.name(), !fault.targetsProxy());
                if (!fault.isPlanned()) {
                    unplannedFaults.begin(machine.name(), !fault.targetsProxy());
                }
                apply(fault, machine, other);
            }
        }));
        steps.add(new Step(endMillis, () -> {
            if (applied[0]) {
                undo(fault, machine, other);
                contact.end(machine.name(), !fault.targetsProxy());
                if (!fault.isPlanned()) {
                    unplannedFaults.end(machine.name(), !fault.targetsProxy());
                }
                report("ended: " + fault + " " + machine.name());
            }
        }));
    }

    private void apply(SoakFault fault, Machine machine, Machine other) throws IOException {
        switch (fault) {
            case PROXY_KILLED, CONTROL_KILLED, CONTROL_WIPED, CONTROL_REPLACED -> cluster.kill(machine);
            case PROXY_PAUSED, CONTROL_PAUSED -> cluster.pause(machine);
            case PROXY_TERMINATED, CONTROL_TERMINATED -> cluster.terminate(machine);
            case PROXY_RELOADED, CONTROL_RELOADED -> cluster.reload(machine);
            case PROXY_CUT, CONTROL_CUT -> cutFromControlNodes(machine, false);
            case PROXY_CUT_FROM_ONE -> cluster.cut(machine, other, false);
            case CONTROL_CUT_ONE_WAY -> cutFromControlNodes(machine, true);
            case CONTROL_CUT_OFF -> {
                cutFromControlNodes(machine, false);
                for (Machine proxy : cluster.proxies()) {
                    cluster.cut(machine, proxy, false);
                }
            }
            case ALL_CONTROL_NODES_KILLED -> cluster.controlNodes().forEach(cluster::kill);
            case HALVES_CUT -> cutHalves();
            case CONTROL_REPLACED_AS_PLANNED -> startSuccessor(machine);
        }
    }

    private void undo(SoakFault fault, Machine machine, Machine other) throws IOException {
        switch (fault) {
            case PROXY_KILLED, CONTROL_KILLED -> cluster.start(machine);
            case PROXY_PAUSED, CONTROL_PAUSED -> cluster.resume(machine);
            case PROXY_RELOADED, CONTROL_RELOADED -> cluster.reload(machine);
            case PROXY_TERMINATED, CONTROL_TERMINATED -> {
                awaitEnd(machine);
                cluster.start(machine);
            }
            case PROXY_CUT, CONTROL_CUT, CONTROL_CUT_ONE_WAY, HALVES_CUT, CONTROL_CUT_OFF, PROXY_CUT_FROM_ONE ->
                cluster.removeAllCuts(); // includes cuts of another fault that was to last longer
            case ALL_CONTROL_NODES_KILLED -> startControlNodes();
            case CONTROL_WIPED -> {
                cluster.wipe(machine);
                cluster.start(machine);
            }
            case CONTROL_REPLACED -> {
                startSuccessor(machine);
                cluster.remove(machine);
            }
            case CONTROL_REPLACED_AS_PLANNED -> {
                cluster.terminate(machine);
                awaitEnd(machine);
                cluster.remove(machine);
            }
        }
    }

    private void awaitEnd(Machine machine) {
        if (cluster.awaitEnd(machine, TERMINATION_GRACE_MILLIS + 500)) {
            failures.add(machine.name() + " did not end within " + TERMINATION_GRACE_MILLIS + " ms of SIGTERM");
        }
    }

    private void startSuccessor(Machine old) throws IOException {
        Machine successor = cluster.successorOf(old);
        cluster.start(successor);
        cluster.add(successor);
    }

    private void startControlNodes() throws IOException {
        for (Machine each : cluster.controlNodes()) {
            cluster.start(each);
        }
    }

    private void cutFromControlNodes(Machine machine, boolean oneWay) throws IOException {
        for (Machine each : cluster.controlNodes()) {
            if (!each.equals(machine)) {
                cluster.cut(machine, each, oneWay);
            }
        }
    }

    private void cutHalves() throws IOException {
        List<Machine> all = cluster.controlNodes();
        int half = 1 + random.nextInt(all.size() - 1);
        for (Machine one : all.subList(0, half)) {
            for (Machine other : all.subList(half, all.size())) {
                cluster.cut(one, other, false);
            }
        }
    }

    // The closing fault.

    /** Right after an acknowledgement, wipes the disk of one control node and kills all other machines. */
    private void runClosingFault() throws IOException, InterruptedException {
        Thread.sleep(CATCH_UP_LIMIT.toMillis());
        long before = changes.newestAcknowledged();
        waitUntil(Duration.ofSeconds(10), () -> changes.newestAcknowledged() > before);
        List<Machine> controlNodes = cluster.controlNodes();
        Machine diskLoser = controlNodes.get(random.nextInt(controlNodes.size()));
        report("closing fault: " + diskLoser.name() + " loses its disk, all other machines are killed");
        List<Machine> all = new ArrayList<>(controlNodes);
        all.addAll(cluster.proxies());
        all.forEach(each -> contact.begin(each.name(), true));
        all.forEach(each -> unplannedFaults.begin(each.name(), true));
        all.forEach(cluster::kill);
        cluster.wipe(diskLoser);
        for (Machine each : all) {
            cluster.start(each);
            contact.end(each.name(), true);
            unplannedFaults.end(each.name(), true);
        }
        long minRevision = changes.newestAcknowledged();
        if (!waitUntil(STARTUP_LIMIT, () -> allProxiesHave(minRevision))) {
            failures.add("after the closing fault not all proxies have revision " + minRevision);
        }
        Thread.sleep(QUIET_PERIOD.toMillis());
        readBack();
    }

    /**
     * With the operators stopped, all control nodes have to return the same configuration, and the proxies have
     * to have it.
     */
    private void readBack() throws InterruptedException {
        operators.forEach(SoakOperator::stop);
        for (Thread thread : threads.subList(0, operators.size())) {
            thread.join(STARTUP_LIMIT.toMillis());
        }
        long minRevision = changes.newestAcknowledged();
        for (Machine each : cluster.controlNodes()) {
            BlockingHttp.Answer[] answer = {BlockingHttp.Answer.NONE};
            waitUntil(Duration.ofSeconds(5), () -> {
                answer[0] = BlockingHttp.call(
                        each.ip(),
                        Machine.CONTROL_PORT,
                        "GET",
                        "/Configuration.Read",
                        "Host: core\r\n",
                        "",
                        QUIET_PERIOD);
                return answer[0].status() == 200;
            });
            if (answer[0].status() == 200) {
                changes.recordRead(SoakOperator.revision(answer[0].body()), answer[0].body(), minRevision, each.name());
            } else {
                failures.add(each.name() + " did not answer the final read: " + answer[0].status());
            }
        }
        if (!waitUntil(Duration.ofSeconds(3), () -> allProxiesHave(minRevision))) {
            failures.add("after the final reads not all proxies have revision " + minRevision);
        }
    }

    private boolean allProxiesHave(long revision) {
        return cluster.proxies().stream().allMatch(proxy -> revisionOf(proxy) >= revision);
    }

    private static long revisionOf(Machine proxy) {
        BlockingHttp.Answer answer = BlockingHttp.call(
                proxy.ip(), Machine.READINESS_PORT, "GET", "/metrics", "Host: metrics\r\n", "", Duration.ofSeconds(1));
        return answer.body()
                .lines()
                .filter(line -> line.startsWith("configuration_revision "))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .findAny()
                .orElse(-1);
    }

    private static boolean waitUntil(Duration limit, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    private void report(String message) {
        out.printf(Locale.ROOT, "  %8.1f s  %s%n", System.nanoTime() / 1e9, message);
    }

    private boolean verdict(long seed) {
        cluster.endedByThemselves().forEach(each -> failures.add("process ended by itself: " + each));
        if (observer.checks() == 0) {
            failures.add("no proxy was ever in contact: nothing was checked");
        }
        failures.forEach(each -> out.println("  fault: " + each));
        int count = faultCounts.values().stream().mapToInt(Integer::intValue).sum();
        out.println((failures.isEmpty() ? "passed" : "FAILED") + ": seed " + seed + ", " + count + " troubles "
                + faultCounts + ", " + changes.summary() + ", " + observer.checks() + " looks at proxies in touch, "
                + clients.summary());
        return failures.isEmpty();
    }
}
