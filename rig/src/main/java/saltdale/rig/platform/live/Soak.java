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
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Site;

/**
 * A soak of real processes on real sockets: two operators change the configuration all the while and lose answers, two
 * or three troubles at a time overlap, and after each bout the proxies in touch are looked at. At the end one control
 * node loses its disk while all other machines, proxies too, are killed at the same moment.
 */
public final class Soak {
    private static final Duration TO_COME_UP = Duration.ofSeconds(20);
    private static final Duration QUIET = Duration.ofMillis(6_500); // contact_ms, and some time to look
    private static final Duration CATCH_UP = Duration.ofSeconds(5); // catch_up_s, and a little
    private static final long GRACE_MILLIS = 6_000;
    private static final int LATEST_BEGIN_MILLIS = 1_500;
    private static final int SHORTEST_MILLIS = 200;
    private static final int LONGEST_MILLIS = 5_000;
    private static final double LOSS = 0.4; // of the bouts one begins with the loss of a disk

    /** Something to be done at a moment of a bout. */
    private interface Action {
        void run() throws IOException;
    }

    private record Step(long atMillis, Action action) {}

    private final SoakCluster cluster;
    private final SoakContact contact;
    private final SoakOrders orders;
    private final SoakObserver observer;
    private final List<SoakOperator> operators;
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final Map<SoakTrouble, Integer> troubles = new EnumMap<>(SoakTrouble.class);
    private final SplittableRandom chance;
    private final PrintStream out;
    private final List<Thread> threads = new ArrayList<>();

    private Soak(SoakCluster cluster, Site site, long seed, PrintStream out) {
        this.cluster = cluster;
        this.out = out;
        chance = new SplittableRandom(seed);
        contact = new SoakContact(site.bounds().contact());
        orders = new SoakOrders(site, faults);
        observer = new SoakObserver(cluster, orders, contact, site.bounds().configApply(), faults);
        operators = List.of(
                new SoakOperator(cluster, orders, "a", chance.nextLong()),
                new SoakOperator(cluster, orders, "b", chance.nextLong()));
    }

    /**
     * Plays one seed and prints what came of it; returns whether nothing was wrong. {@code program}: the arguments of
     * java that name the program; {@code folder}: where settings, disks and logs go.
     */
    public static boolean play(Site site, List<String> program, Path folder, int bouts, long seed, PrintStream out)
            throws IOException, InterruptedException {
        try (StandIn standIn = new StandIn(site, new Faults(Map.of(), seed), seed, null);
                SoakCluster cluster = new SoakCluster(site, program, folder)) {
            Soak soak = new Soak(cluster, standIn.site, seed, out);
            try {
                soak.play(bouts);
            } finally {
                soak.endThreads();
            }
            return soak.verdict(seed);
        }
    }

    private void play(int bouts) throws IOException, InterruptedException {
        cluster.startAll();
        operators.forEach(this::begin);
        if (!until(TO_COME_UP, () -> allHave(1))) {
            faults.add("did not come up");
            return;
        }
        begin(observer);
        for (int i = 0; i < bouts && faults.isEmpty(); i++) {
            bout();
            Thread.sleep(QUIET.toMillis());
        }
        if (faults.isEmpty()) {
            close();
        }
    }

    private void begin(Runnable what) {
        Thread thread = new Thread(what, what.getClass().getSimpleName());
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    private void endThreads() throws InterruptedException {
        operators.forEach(SoakOperator::end);
        observer.end();
        for (Thread thread : threads) {
            thread.join(TO_COME_UP.toMillis());
        }
    }

    // Troubles.

    /** Two or three troubles that overlap, until all of them are over. */
    private void bout() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        boolean loss = chance.nextDouble() < LOSS && contact.isCoreCalmFor(CATCH_UP);
        int count = 2 + chance.nextInt(2);
        for (int i = 0; i < count; i++) {
            // While a disk is lost no other control node is in trouble; proxies may be.
            SoakTrouble trouble = loss && i == 0
                    ? SoakTrouble.drawnLoss(chance)
                    : SoakTrouble.drawn(chance, loss || chance.nextInt(3) == 0);
            long from = chance.nextInt(LATEST_BEGIN_MILLIS);
            long to = from + SHORTEST_MILLIS + chance.nextInt(LONGEST_MILLIS);
            plan(steps, trouble, from, to);
        }
        run(steps);
    }

    private void run(List<Step> steps) throws IOException, InterruptedException {
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

    private void plan(List<Step> steps, SoakTrouble trouble, long from, long to) {
        List<Machine> of = trouble.ofProxy() ? cluster.proxies() : cluster.controlNodes();
        Machine machine = of.get(chance.nextInt(of.size()));
        Machine other =
                cluster.controlNodes().get(chance.nextInt(cluster.controlNodes().size()));
        boolean[] struck = new boolean[1];
        steps.add(new Step(from, () -> {
            struck[0] = contact.isFree(machine.name()); // one trouble of a machine at a time
            if (struck[0]) {
                troubles.merge(trouble, 1, Integer::sum);
                note(trouble + " " + machine.name());
                contact.begins(machine.name(), !trouble.ofProxy());
                strike(trouble, machine, other);
            }
        }));
        steps.add(new Step(to, () -> {
            if (struck[0]) {
                heal(trouble, machine, other);
                contact.ends(machine.name(), !trouble.ofProxy());
                note("over: " + trouble + " " + machine.name());
            }
        }));
    }

    private void strike(SoakTrouble trouble, Machine machine, Machine other) throws IOException {
        switch (trouble) {
            case PROXY_KILLED, CONTROL_KILLED, CONTROL_WIPED, CONTROL_REPLACED -> cluster.kill(machine);
            case PROXY_PAUSED, CONTROL_PAUSED -> cluster.pause(machine);
            case PROXY_TERMINATED, CONTROL_TERMINATED -> cluster.terminate(machine);
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

    private void heal(SoakTrouble trouble, Machine machine, Machine other) throws IOException {
        switch (trouble) {
            case PROXY_KILLED, CONTROL_KILLED -> cluster.start(machine);
            case PROXY_PAUSED, CONTROL_PAUSED -> cluster.resume(machine);
            case PROXY_TERMINATED, CONTROL_TERMINATED -> {
                awaitEnd(machine);
                cluster.start(machine);
            }
            case PROXY_CUT, CONTROL_CUT, CONTROL_CUT_ONE_WAY, HALVES_CUT, CONTROL_CUT_OFF, PROXY_CUT_FROM_ONE ->
                cluster.healAll(); // also those of another trouble that would last longer
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
        if (cluster.awaitEnd(machine, GRACE_MILLIS + 500)) {
            faults.add(machine.name() + " did not end within " + GRACE_MILLIS + " ms of SIGTERM");
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
        int half = 1 + chance.nextInt(all.size() - 1);
        for (Machine one : all.subList(0, half)) {
            for (Machine other : all.subList(half, all.size())) {
                cluster.cut(one, other, false);
            }
        }
    }

    // The end.

    /** Right after an acknowledgement a control node loses its disk and all other machines are killed. */
    private void close() throws IOException, InterruptedException {
        Thread.sleep(CATCH_UP.toMillis());
        long before = orders.newest();
        until(Duration.ofSeconds(10), () -> orders.newest() > before);
        List<Machine> controlNodes = cluster.controlNodes();
        Machine lost = controlNodes.get(chance.nextInt(controlNodes.size()));
        note("closing: " + lost.name() + " loses its disk, all others are killed");
        List<Machine> all = new ArrayList<>(controlNodes);
        all.addAll(cluster.proxies());
        all.forEach(each -> contact.begins(each.name(), true));
        all.forEach(cluster::kill);
        cluster.wipe(lost);
        for (Machine each : all) {
            cluster.start(each);
            contact.ends(each.name(), true);
        }
        long least = orders.newest();
        if (!until(TO_COME_UP, () -> allHave(least))) {
            faults.add("after the closing fault not all proxies have revision " + least);
        }
        Thread.sleep(QUIET.toMillis());
        readBack();
    }

    /** Nothing is sent any more: all control nodes read the same, and proxies have it. */
    private void readBack() throws InterruptedException {
        operators.forEach(SoakOperator::end);
        for (Thread thread : threads.subList(0, operators.size())) {
            thread.join(TO_COME_UP.toMillis());
        }
        long least = orders.newest();
        for (Machine each : cluster.controlNodes()) {
            PlainHttp.Answer[] answer = {PlainHttp.Answer.NONE};
            until(Duration.ofSeconds(5), () -> {
                answer[0] = PlainHttp.call(
                        each.ip(), Machine.CONTROL, "GET", "/Configuration.Read", "Host: core\r\n", "", QUIET);
                return answer[0].status() == 200;
            });
            if (answer[0].status() == 200) {
                orders.read(SoakOperator.revision(answer[0].body()), answer[0].body(), least, each.name());
            } else {
                faults.add(each.name() + " does not answer a read at the end: " + answer[0].status());
            }
        }
        if (!until(Duration.ofSeconds(3), () -> allHave(least))) {
            faults.add("at the end not all proxies have revision " + least);
        }
    }

    private boolean allHave(long revision) {
        return cluster.proxies().stream().allMatch(proxy -> revisionOf(proxy) >= revision);
    }

    private static long revisionOf(Machine proxy) {
        PlainHttp.Answer answer = PlainHttp.call(
                proxy.ip(), Machine.READINESS, "GET", "/metrics", "Host: metrics\r\n", "", Duration.ofSeconds(1));
        return answer.body()
                .lines()
                .filter(line -> line.startsWith("configuration_revision "))
                .mapToLong(line -> Long.parseLong(line.split(" ")[1]))
                .findAny()
                .orElse(-1);
    }

    private static boolean until(Duration limit, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    private void note(String what) {
        out.printf(Locale.ROOT, "  %8.1f s  %s%n", System.nanoTime() / 1e9, what);
    }

    private boolean verdict(long seed) {
        cluster.endedByThemselves().forEach(each -> faults.add("ended by itself: " + each));
        if (observer.checks() == 0) {
            faults.add("no proxy was ever in touch: nothing was checked");
        }
        faults.forEach(each -> out.println("  fault: " + each));
        int count = troubles.values().stream().mapToInt(Integer::intValue).sum();
        out.println((faults.isEmpty() ? "passed" : "FAILED") + ": seed " + seed + ", " + count + " troubles " + troubles
                + ", " + orders.figures() + ", " + observer.checks() + " looks at proxies in touch");
        return faults.isEmpty();
    }
}
