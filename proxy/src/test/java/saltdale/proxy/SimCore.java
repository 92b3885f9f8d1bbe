package saltdale.proxy;

import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.read;
import static saltdale.proxy.SimOperator.replace;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import saltdale.control.Voter;

/**
 * The control nodes of a small or a large site, an operator who sends one configuration order after the other, losses
 * and replacements of machines within the tolerated limits, and checks of what must hold at any time.
 */
final class SimCore {
    /** How a machine is lost; some time later it is back, or its successor has started. */
    enum Loss {
        REPLACE, // lost for good; an empty machine starts at another address
        WIPE, // returns with an empty disk
        LEAVE, // an empty machine starts first, then this one gets SIGTERM
        POWER_OFF,
        KILL,
        FREEZE,
        CUT
    }

    private static final long MAX_ACKNOWLEDGE_MS = 5000; // as on all sites
    private static final long GRACE_MS = 6000;
    private static final long STEP_MS = 50;

    final SimWorld world;
    final int size;
    final int tolerated;
    final long recoveryMs;
    boolean operatorRunning;
    /** How long a lost machine is down. */
    long outageMs = 1000;

    /** Time from the start of its successor to the SIGTERM of a leaving member. */
    long departureDelayMs;
    /** Deliberate fault: a leaving member ends whether or not its successor has started. */
    boolean departsAtOnce;
    /** Deliberate fault: the identity survives the loss of the disk. */
    boolean keepsIdentityOnWipe;

    private long acknowledgedRevision;
    private long lastEventAt; // when the last loss, return or acknowledgement happened
    private long recoveredAt; // when no machine counts as lost any more
    private final Set<SimMachine> leaving = new HashSet<>(); // members that got SIGTERM
    private int nextHostNumber = 100;
    private int ordersSent;

    SimCore(long seed, int size) {
        this.size = size;
        tolerated = size / 2;
        recoveryMs = size == 3 ? 4000 : 6000;
        departureDelayMs = seed % 2 == 0 ? 2000 : recoveryMs;
        world = new SimWorld(seed).withNodes(size, 0);
    }

    void start() {
        world.startAll();
        world.run(2500);
        lastEventAt = world.now();
        startOperator();
        check(
                () -> acknowledgedRevision >= 1 && world.voters().size() == size && !world.isJoint(),
                "the first order was not acknowledged, or voters are missing");
    }

    SimMachine machine(String host) {
        return world.machines.get(host);
    }

    /** Returns a running voter by number; the duty holder, if it is one of them, comes first. */
    SimMachine victim(int number) {
        List<SimMachine> all = new ArrayList<>(runningVoters());
        String holder = world.newestChosen.duty("starting").name();
        all.sort((a, b) -> Boolean.compare(("n-" + b.host).equals(holder), ("n-" + a.host).equals(holder)));
        return all.get(number % all.size());
    }

    private List<SimMachine> runningVoters() {
        return world.controlNodes.stream()
                .filter(each -> each.process != null && world.voters().contains(each.id()))
                .toList();
    }

    // Losses.

    private void recordEvent(long lossMs) {
        lastEventAt = world.now();
        recoveredAt = Math.max(recoveredAt, world.now() + lossMs * 1_000_000);
    }

    /** Lets the machines that are lost now count as lost for this much longer. */
    void extendRecovery(long ms) {
        recoveredAt += ms * 1_000_000;
    }

    /** Loses as many machines at once as are tolerated. */
    void loseTolerated(Loss loss, int from) {
        List<SimMachine> victims = new ArrayList<>();
        for (int i = 0; i < tolerated; i++) {
            victims.add(victim(from + i));
        }
        victims.forEach(each -> lose(loss, each));
    }

    void lose(Loss loss, SimMachine one) {
        if (one == null || one.process == null) {
            return;
        }
        recordEvent(outageMs + recoveryMs);
        if (leaving.contains(one) && loss != Loss.CUT) {
            remove(one);
            return;
        }
        switch (loss) {
            case REPLACE -> {
                remove(one);
                later(outageMs, this::startReplacement);
            }
            case LEAVE -> {
                startReplacement();
                later(departureDelayMs, () -> sendTerminate(one));
            }
            case FREEZE -> {
                one.freeze();
                SimMachine.Process frozen = one.process;
                later(outageMs, () -> {
                    if (one.process == frozen) {
                        one.thaw();
                    }
                });
            }
            case CUT -> {
                world.isolate(one);
                later(outageMs, world.cutLinks::clear);
            }
            case WIPE -> {
                wipe(one);
                later(outageMs, () -> startIfMember(one));
            }
            case KILL -> {
                one.kill();
                later(outageMs, () -> startIfMember(one));
            }
            default -> {
                one.powerOff();
                later(outageMs, () -> startIfMember(one));
            }
        }
    }

    private void later(long ms, Runnable task) {
        world.schedule(ms * 1_000_000, () -> {
            recordEvent(recoveryMs);
            task.run();
        });
    }

    private void startIfMember(SimMachine one) {
        if (world.controlNodes.contains(one)) {
            one.start();
        }
    }

    private void wipe(SimMachine one) {
        byte[] identity = one.synced.get("identity");
        one.wipe();
        if (keepsIdentityOnWipe) {
            one.synced.put("identity", identity);
        }
    }

    private void remove(SimMachine one) {
        one.wipe();
        leaving.remove(one);
        world.controlNodes.remove(one);
        world.machines.remove(one.host);
    }

    private void startReplacement() {
        List<String> seeds =
                world.controlNodes.stream().limit(3).map(k -> k.host).toList();
        world.controlNode("10.0.0." + nextHostNumber++, seeds, false).start();
    }

    /** Sends SIGTERM. The successor has been running for long, or counts as lost in place of this machine. */
    private void sendTerminate(SimMachine one) {
        recoveredAt = Math.max(world.now(), recoveredAt - departureDelayMs * 1_000_000);
        if (one.process == null) {
            remove(one);
        } else if (departsAtOnce) {
            one.process.deliver(() -> one.controlNode().shutDown(GRACE_MS * 700_000, () -> {}));
            later(50, () -> remove(one));
        } else {
            leaving.add(one);
            one.terminate(GRACE_MS, () -> remove(one));
        }
    }

    // The operator.

    /** Sends one order after the other; each goes to one control node after the other until one acknowledges it. */
    void startOperator() {
        if (!operatorRunning) {
            operatorRunning = true;
            sendOrder();
        }
    }

    private void sendOrder() {
        if (!operatorRunning) {
            return;
        }
        SimMachine to = world.controlNodes.get(ordersSent++ % world.controlNodes.size());
        boolean[] done = new boolean[1];
        if (to.process == null) {
            world.schedule(100_000_000, this::sendOrder);
            return;
        }
        long base = acknowledgedRevision;
        replace(to, base, config(base + 1), reply -> {
            if (reply.status() == 200 && acknowledgedRevision == base) {
                acknowledgedRevision = base + 1;
                lastEventAt = world.now();
                checkHolders();
            } else if (reply.status() != 200 && reply.status() != 503) {
                world.violations.add("the order based on " + base + " got " + reply.status() + " " + reply.reason());
            }
            sendNextOrder(done, 150);
        });
        world.schedule(1_000_000_000, () -> sendNextOrder(done, 0));
    }

    private void sendNextOrder(boolean[] done, long ms) {
        if (!done[0]) {
            done[0] = true;
            world.schedule(ms * 1_000_000, this::sendOrder);
        }
    }

    // Checks.

    void runUntilRecovered() {
        while (world.now() < recoveredAt) {
            world.run(Math.min(STEP_MS, Math.max(1, (recoveredAt - world.now()) / 1_000_000)));
            checkStep();
        }
        checkRepaired();
    }

    /** Checks that members that got SIGTERM with a successor in place are gone after the grace period. */
    void runUntilDeparted() {
        if (!leaving.isEmpty()) {
            recoveredAt = Math.max(recoveredAt, world.now() + GRACE_MS * 1_000_000);
            runUntilRecovered();
        }
        if (!leaving.isEmpty()) {
            world.violations.add("still leaving after the grace period");
        }
    }

    private void checkStep() {
        checkHolders();
        if (!operatorRunning) {
            lastEventAt = world.now();
        } else if (world.now() - lastEventAt > MAX_ACKNOWLEDGE_MS * 1_000_000) {
            world.violations.add("no order was acknowledged for " + MAX_ACKNOWLEDGE_MS + " ms");
            operatorRunning = false;
        }
    }

    /** Checks that a majority of each set of voters has synced what is acknowledged, lost disks left aside. */
    private void checkHolders() {
        if (world.newestChosen == null) {
            return;
        }
        for (List<Voter> set : world.newestChosen.voterSets()) {
            long holders = set.stream().filter(this::holdsOrIsLost).count();
            if (holders <= set.size() / 2) {
                world.violations.add(
                        "at " + elapsedMs() + " only " + holders + " of " + set + " hold " + acknowledgedRevision);
            }
        }
    }

    private boolean holdsOrIsLost(Voter voter) {
        return world.controlNodes.stream()
                .filter(each -> each.id().equals(voter.id()))
                .findAny()
                .map(each -> holds(each.synced.keySet()))
                .orElse(true);
    }

    private boolean holds(Set<String> records) {
        return acknowledgedRevision == 0
                || records.stream()
                        .filter(name -> name.startsWith("text:"))
                        .anyMatch(name -> Long.parseLong(name.substring(5, name.indexOf('-'))) >= acknowledgedRevision);
    }

    /** Checks that there are as many voters as the site has, all with their disks, and no change of voters. */
    private void checkRepaired() {
        List<String> alive = world.controlNodes.stream().map(SimMachine::id).toList();
        if (world.isJoint() || world.voters().size() != size || !alive.containsAll(world.voters())) {
            world.violations.add("at " + elapsedMs() + " not repaired: voters " + world.newestChosen.voters()
                    + " joint " + world.isJoint() + ", alive " + alive);
        }
    }

    private void check(BooleanSupplier condition, String failure) {
        if (!world.runUntil(10_000, condition)) {
            world.violations.add(failure);
        }
    }

    /** The final fault: right after an acknowledgement some disks are lost and all other machines lose power. */
    void loseDisksAndPower(int from) {
        startOperator();
        long before = acknowledgedRevision;
        check(() -> acknowledgedRevision > before, "no order was acknowledged before the final fault");
        operatorRunning = false;
        for (SimMachine each : List.copyOf(world.controlNodes)) {
            each.powerOff();
        }
        for (int i = 0; i < tolerated; i++) {
            wipe(world.controlNodes.get((from + i) % world.controlNodes.size()));
        }
        world.controlNodes.forEach(SimMachine::start);
        world.run(5000);
        for (SimMachine each : world.controlNodes) {
            String read = read(world, each);
            if (read == null || AgreementTest.revision(read) < acknowledgedRevision) {
                world.violations.add("after the final fault " + each.host + " reads " + read + " though "
                        + acknowledgedRevision + " is acknowledged");
                return;
            }
        }
    }

    private long elapsedMs() {
        return world.now() / 1_000_000 - 1_000_000;
    }
}
