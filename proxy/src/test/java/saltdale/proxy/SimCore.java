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
 * The control nodes of a small or a grown site with an operator who sends one order after the other, machines that are
 * lost and replaced within what is tolerated, and checks of what must hold all the while.
 */
final class SimCore {
    /** How a machine is lost; each is back, or its successor is there, some time later. */
    enum Loss {
        REPLACE, // gone for good; an empty one comes at another address
        WIPE, // comes back with an empty disk
        LEAVE, // an empty one comes first, then this one gets SIGTERM
        POWER_OFF,
        KILL,
        FREEZE,
        CUT
    }

    private static final long ACKNOWLEDGE = 5000; // ms, as on all sites
    private static final long GRACE = 6000;
    private static final long STEP = 50;

    final SimWorld world;
    final int size;
    final int tolerated;
    final long recoveryMs;
    boolean operatorRunning;
    /** How long a lost machine is away, in ms. */
    long outageMs = 1000;

    /** How long after its successor's start a leaving member gets SIGTERM, in ms. */
    long departureDelayMs;
    /** Wrong: a member that leaves ends whether or not its successor is there. */
    boolean departsAtOnce;
    /** Wrong: the identity outlasts the disk. */
    boolean keepsIdentityOnWipe;

    private long acknowledged; // the newest revision
    private long lastEvent; // the newest fault, return or acknowledgement
    private long caughtUpAt; // when nothing counts as lost any more
    private final Set<SimMachine> leaving = new HashSet<>(); // SIGTERM was sent
    private int hosts = 100;
    private int sentTo;

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
        lastEvent = world.now();
        startOperator();
        check(() -> acknowledged >= 1 && world.voters().size() == size && !world.isJoint(), "no first order or voters");
    }

    SimMachine machine(String host) {
        return world.machines.get(host);
    }

    /** A voter; the holder of the duty comes first. */
    SimMachine victim(int number) {
        List<SimMachine> all = new ArrayList<>(running());
        String holder = world.newestChosen.duty("starting").name();
        all.sort((a, b) -> Boolean.compare(("n-" + b.host).equals(holder), ("n-" + a.host).equals(holder)));
        return all.get(number % all.size());
    }

    private List<SimMachine> running() {
        return world.controlNodes.stream()
                .filter(each -> each.process != null && world.voters().contains(each.id()))
                .toList();
    }

    // Losses.

    private void event(long countsFor) {
        lastEvent = world.now();
        caughtUpAt = Math.max(caughtUpAt, world.now() + countsFor * 1_000_000);
    }

    /** What is lost now counts as lost for so much longer, in ms. */
    void extendRecovery(long ms) {
        caughtUpAt += ms * 1_000_000;
    }

    /** As many as are tolerated, at once. */
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
        event(outageMs + recoveryMs);
        if (leaving.contains(one) && loss != Loss.CUT) {
            remove(one);
            return;
        }
        switch (loss) {
            case REPLACE -> {
                remove(one);
                later(outageMs, this::comes);
            }
            case LEAVE -> {
                comes();
                later(departureDelayMs, () -> leaves(one));
            }
            case FREEZE -> {
                one.freeze();
                SimMachine.Process of = one.process;
                later(outageMs, () -> {
                    if (one.process == of) {
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
                later(outageMs, () -> starts(one));
            }
            case KILL -> {
                one.kill();
                later(outageMs, () -> starts(one));
            }
            default -> {
                one.powerOff();
                later(outageMs, () -> starts(one));
            }
        }
    }

    private void later(long ms, Runnable what) {
        world.schedule(ms * 1_000_000, () -> {
            event(recoveryMs);
            what.run();
        });
    }

    private void starts(SimMachine one) {
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

    private void comes() {
        List<String> seeds =
                world.controlNodes.stream().limit(3).map(k -> k.host).toList();
        world.controlNode("10.0.0." + hosts++, seeds, false).start();
    }

    /** SIGTERM. Its successor has been there for long, or counts as lost in its place. */
    private void leaves(SimMachine one) {
        caughtUpAt = Math.max(world.now(), caughtUpAt - departureDelayMs * 1_000_000);
        if (one.process == null) {
            remove(one);
        } else if (departsAtOnce) {
            one.process.deliver(() -> one.controlNode().shutDown(GRACE * 700_000, () -> {}));
            later(50, () -> remove(one));
        } else {
            leaving.add(one);
            one.terminate(GRACE, () -> remove(one));
        }
    }

    // The operator.

    /** Sends one order after the other; each to the next control node until one has acknowledged it. */
    void startOperator() {
        if (!operatorRunning) {
            operatorRunning = true;
            order();
        }
    }

    private void order() {
        if (!operatorRunning) {
            return;
        }
        SimMachine to = world.controlNodes.get(sentTo++ % world.controlNodes.size());
        boolean[] over = new boolean[1];
        if (to.process == null) {
            world.schedule(100_000_000, this::order);
            return;
        }
        long base = acknowledged;
        replace(to, base, config(base + 1), reply -> {
            if (reply.status() == 200 && acknowledged == base) {
                acknowledged = base + 1;
                lastEvent = world.now();
                checkHolders();
            } else if (reply.status() != 200 && reply.status() != 503) {
                world.violations.add("the order on " + base + " got " + reply.status() + " " + reply.reason());
            }
            again(over, 150);
        });
        world.schedule(1_000_000_000, () -> again(over, 0));
    }

    private void again(boolean[] over, long ms) {
        if (!over[0]) {
            over[0] = true;
            world.schedule(ms * 1_000_000, this::order);
        }
    }

    // What must hold.

    void runUntilRecovered() {
        while (world.now() < caughtUpAt) {
            world.run(Math.min(STEP, Math.max(1, (caughtUpAt - world.now()) / 1_000_000)));
            checkStep();
        }
        checkRepaired();
    }

    /** A member that got SIGTERM when its successor had long been there is gone after its grace. */
    void runUntilDeparted() {
        if (!leaving.isEmpty()) {
            caughtUpAt = Math.max(caughtUpAt, world.now() + GRACE * 1_000_000);
            runUntilRecovered();
        }
        if (!leaving.isEmpty()) {
            world.violations.add("still leaving after the grace");
        }
    }

    private void checkStep() {
        checkHolders();
        if (!operatorRunning) {
            lastEvent = world.now();
        } else if (world.now() - lastEvent > ACKNOWLEDGE * 1_000_000) {
            world.violations.add("no order was taken for " + ACKNOWLEDGE + " ms");
            operatorRunning = false;
        }
    }

    /** A majority of each set of voters holds what is acknowledged, synced, but for disks that are lost. */
    private void checkHolders() {
        if (world.newestChosen == null) {
            return;
        }
        for (List<Voter> set : world.newestChosen.voterSets()) {
            long holders = set.stream().filter(this::holdsOrIsLost).count();
            if (holders <= set.size() / 2) {
                world.violations.add("at " + millis() + " only " + holders + " of " + set + " hold " + acknowledged);
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
        return acknowledged == 0
                || records.stream()
                        .filter(name -> name.startsWith("text:"))
                        .anyMatch(name -> Long.parseLong(name.substring(5, name.indexOf('-'))) >= acknowledged);
    }

    /** All voters are there with their disks, as many as the site has, and no change of voters is under way. */
    private void checkRepaired() {
        List<String> alive = world.controlNodes.stream().map(SimMachine::id).toList();
        if (world.isJoint() || world.voters().size() != size || !alive.containsAll(world.voters())) {
            world.violations.add("at " + millis() + " not repaired: voters " + world.newestChosen.voters() + " joint "
                    + world.isJoint() + ", alive " + alive);
        }
    }

    private void check(BooleanSupplier holds, String otherwise) {
        if (!world.runUntil(10_000, holds)) {
            world.violations.add(otherwise);
        }
    }

    /** The closing fault: disks are lost right after an acknowledgement, and the others lose power. */
    void loseDisksAndPower(int from) {
        startOperator();
        long before = acknowledged;
        check(() -> acknowledged > before, "no order before the end");
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
            String is = read(world, each);
            if (is == null || AgreementTest.revision(is) < acknowledged) {
                world.violations.add(
                        "after the end " + each.host + " reads " + is + " though " + acknowledged + " is acknowledged");
                return;
            }
        }
    }

    private long millis() {
        return world.now() / 1_000_000 - 1_000_000;
    }
}
