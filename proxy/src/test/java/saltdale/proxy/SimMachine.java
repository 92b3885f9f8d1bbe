package saltdale.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import saltdale.control.ControlNode;
import saltdale.control.ControlNodeSettings;
import saltdale.control.Counters;
import saltdale.control.Environment;
import saltdale.control.Invariant;
import saltdale.control.MalformedMessage;
import saltdale.control.ReplicatedState;
import saltdale.control.ToleratedLosses;
import saltdale.control.message.Message;

/** A simulated machine with a disk; at most one process runs on it. */
final class SimMachine {
    enum Disk {
        WELL,
        FULL,
        HANGING
    }

    /** Records that are written but not synced; {@code done} gets whether the sync succeeded. */
    private record Write(Map<String, byte[]> records, Process process, Consumer<Boolean> done) {}

    private final SimWorld world;
    final String host;
    final String zone;
    List<String> seeds;
    final boolean isControlNode;
    boolean firstStart;
    Map<String, byte[]> synced = new LinkedHashMap<>();
    private final List<Write> writes = new ArrayList<>(); // not synced yet
    private boolean writing;
    Disk disk = Disk.WELL;
    static final long NORMAL_SYNC_NANOS = 3_000_000;
    long syncNanos = NORMAL_SYNC_NANOS;
    Process process;
    boolean frozen;
    /** Offset of the wall clock, which only a deliberately faulty variant reads. */
    long wallClockOffsetNanos;

    /** Deliberate fault: leases are measured by the wall clock. */
    boolean leasesByWallClock;
    /** Tasks that came due while the process was frozen. */
    private final List<Runnable> deferred = new ArrayList<>();

    SimMachine(
            SimWorld world, String host, String zone, List<String> seeds, boolean isControlNode, boolean firstStart) {
        this.world = world;
        this.host = host;
        this.zone = zone;
        this.seeds = seeds;
        this.isControlNode = isControlNode;
        this.firstStart = firstStart;
        world.machines.put(host, this);
    }

    ControlNode controlNode() {
        return process == null ? null : process.controlNode;
    }

    Proxy proxy() {
        return process == null ? null : process.proxy;
    }

    /** The identity stored on the disk, or an empty string. */
    String id() {
        return synced.containsKey("identity") ? new String(synced.get("identity")) : "";
    }

    void start() {
        if (process == null) {
            process = new Process();
            process.begin();
            firstStart = false;
        }
    }

    /** Ends the process at once, and closes its connections as others see them. Files stay as they were written. */
    void kill() {
        end();
        for (SimMachine other : world.machines.values()) {
            world.schedule(world.randomDelayNanos(), () -> {
                if (other.proxy() != null && !other.frozen) {
                    other.proxy().connectionLost(host);
                }
            });
        }
    }

    /** Cuts the power; others are not notified of closed connections. */
    void powerOff() {
        end();
    }

    /** Ends the process and empties the disk. */
    void wipe() {
        end();
        synced = new LinkedHashMap<>();
    }

    /** Sends SIGTERM, and SIGKILL after the grace period; {@code onEnd} runs once the process has ended. */
    void terminate(long graceMillis, Runnable onEnd) {
        Process terminated = process;
        Runnable killIfRunning = () -> {
            if (process == terminated) {
                kill();
                onEnd.run();
            }
        };
        terminated.deliver(() -> terminated.controlNode.shutDown(
                graceMillis * 700_000, () -> world.schedule(50_000_000, killIfRunning)));
        world.schedule(graceMillis * 1_000_000, killIfRunning);
    }

    /** Ends the process; a random prefix of the writes that were not synced survives. */
    private void end() {
        writes.stream().limit(world.random.nextInt(writes.size() + 1)).forEach(w -> put(w.records));
        writes.clear();
        deferred.clear();
        frozen = false;
        if (process != null) {
            process.dead = true;
            world.platform.processEnded(process);
        }
        process = null;
    }

    private void put(Map<String, byte[]> records) {
        records.forEach((name, bytes) -> {
            if (bytes == null) {
                synced.remove(name);
            } else {
                synced.put(name, bytes);
            }
        });
    }

    /** Syncs the oldest write and then the others, one at a time. */
    void sync() {
        if (writing || writes.isEmpty() || disk == Disk.HANGING) {
            return;
        }
        writing = true;
        Write next = writes.get(0);
        world.schedule((long) (syncNanos * (0.3 + world.random.nextDouble())), () -> {
            writing = false;
            if (disk != Disk.HANGING && writes.remove(next)) {
                boolean succeeds = disk == Disk.WELL;
                // A write that fails may have reached the disk all the same.
                if (succeeds || world.random.nextInt(4) == 0) {
                    put(next.records);
                }
                next.process.deliver(() -> next.done.accept(succeeds));
            }
            sync();
        });
    }

    void repairDisk() {
        disk = Disk.WELL;
        sync();
    }

    void freeze() {
        frozen = process != null;
    }

    /**
     * Resumes the process if it is still frozen; timers and messages that came due in the meantime are delivered now.
     */
    void thaw() {
        if (!frozen) { // it has ended meanwhile
            return;
        }
        frozen = false;
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        Process resumed = process;
        due.forEach(resumed::deliver);
    }

    /** One incarnation of a process. */
    final class Process implements Environment {
        final SimMachine machine = SimMachine.this;
        final Counters counters = new Counters();
        ControlNode controlNode;
        Proxy proxy;
        boolean dead;

        void begin() {
            String name = "n-" + host;
            try {
                if (isControlNode) {
                    controlNode = world.controlNodeFactory.of(
                            this,
                            new ControlNodeSettings(
                                    name,
                                    host,
                                    zone,
                                    seeds,
                                    firstStart,
                                    new ToleratedLosses(world.toleratedLosses, world.toleratedZones, 0),
                                    SimWorld.HEARTBEAT_NANOS,
                                    Environment.millisToNanos(5000),
                                    Environment.millisToNanos(3000),
                                    world.rates),
                            world.platform.clientFor(this),
                            new LinkedHashMap<>(synced));
                    controlNode.start();
                } else {
                    proxy = new Proxy(
                            this,
                            new ProxySettings(
                                    name,
                                    host,
                                    zone,
                                    seeds,
                                    SimWorld.HEARTBEAT_NANOS,
                                    Environment.millisToNanos(3000),
                                    0.2,
                                    Environment.millisToNanos(10_000),
                                    52),
                            world.transports.apply(this));
                    proxy.start();
                }
            } catch (MalformedMessage e) {
                world.violations.add("the disk of " + host + " is not readable: " + e.getMessage());
            }
        }

        /** Runs a task in this process: at once, after the resumption if it is frozen, or never if it is dead. */
        void deliver(Runnable task) {
            if (dead) {
                return;
            }
            if (frozen) {
                deferred.add(task);
            } else {
                task.run();
            }
        }

        @Override
        public long now() {
            return world.now() + (leasesByWallClock ? wallClockOffsetNanos : 0);
        }

        @Override
        public SplittableRandom random() {
            return world.random;
        }

        @Override
        public Runnable schedule(long nanos, Runnable task) {
            boolean[] cancelled = new boolean[1];
            world.schedule(
                    nanos,
                    () -> deliver(() -> {
                        if (!cancelled[0]) {
                            task.run();
                        }
                    }));
            return () -> cancelled[0] = true;
        }

        @Override
        public void send(String to, Message message) {
            if (!dead) {
                world.send(host, to, message);
            }
        }

        @Override
        public void persist(Map<String, byte[]> records, Consumer<Boolean> done) {
            if (world.acknowledgesBeforeSync) {
                writes.add(new Write(new LinkedHashMap<>(records), this, synced -> {}));
                deliver(() -> done.accept(true));
            } else {
                writes.add(new Write(new LinkedHashMap<>(records), this, done));
            }
            sync();
        }

        @Override
        public void runGuarded(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException | StackOverflowError e) {
                check(Invariant.TASK_COMPLETED, false, () -> Environment.describe(e));
            }
        }

        @Override
        public Counters counters() {
            return counters;
        }

        @Override
        public void reportViolation(Invariant invariant, String detail) {
            world.violations.add(
                    host + " at " + (world.now() / 1_000_000 - 1_000_000) + " ms: " + invariant + ", " + detail);
        }

        @Override
        public void onAnsweredFrom(ReplicatedState state, long queuedAt) {
            if (!leasesByWallClock) {
                world.checkAnsweredFrom(host, state, queuedAt);
            }
        }

        @Override
        public void log(String text) {
            if (Boolean.getBoolean("sim.notes")) {
                System.out.println(world.now() / 1_000_000 - 1_000_000 + " " + host + " " + text);
            }
        }

        /** Handles a received message; throws if it is malformed. */
        void receive(String from, Message message) throws MalformedMessage {
            if (controlNode != null) {
                controlNode.handleMessage(from, message);
            } else {
                proxy.handleMessage(from, message);
            }
        }
    }
}
