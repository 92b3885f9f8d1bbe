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
import saltdale.control.ToleratedLosses;
import saltdale.control.message.Message;

/** A machine with its disk; at most one process runs on it. */
final class SimMachine {
    enum Disk {
        WELL,
        FULL,
        HANGING
    }

    private record Write(Map<String, byte[]> records, Process of, Consumer<Boolean> done) {}

    private final SimWorld world;
    final String host;
    final String zone;
    List<String> seeds;
    final boolean isControlNode;
    boolean firstStart;
    Map<String, byte[]> synced = new LinkedHashMap<>();
    private final List<Write> writes = new ArrayList<>(); // not yet synced
    private boolean writing;
    Disk disk = Disk.WELL;
    static final long NORMAL_SYNC_NANOS = 3_000_000;
    long syncNanos = NORMAL_SYNC_NANOS;
    Process process;
    boolean frozen;
    /** How far its time of day is off; only a wrong variant of the code looks at that. */
    long wallClockOffsetNanos;

    boolean leasesByWallClock;
    private final List<Runnable> late = new ArrayList<>();

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

    /** The process ends at once, and others see their connections to it end; its files stay as they were written. */
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

    /** No power, and nobody hears of it. */
    void powerOff() {
        end();
    }

    void wipe() {
        end();
        synced = new LinkedHashMap<>();
    }

    /** SIGTERM, and SIGKILL after the grace; {@code gone} runs once the process has ended. */
    void terminate(long graceMillis, Runnable gone) {
        Process of = process;
        Runnable ends = () -> {
            if (process == of) {
                kill();
                gone.run();
            }
        };
        of.deliver(() -> of.controlNode.shutDown(graceMillis * 700_000, () -> world.schedule(50_000_000, ends)));
        world.schedule(graceMillis * 1_000_000, ends);
    }

    /** Of what was not synced some may be there, in order. */
    private void end() {
        writes.stream().limit(world.random.nextInt(writes.size() + 1)).forEach(w -> put(w.records));
        writes.clear();
        late.clear();
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

    void sync() {
        if (writing || writes.isEmpty() || disk == Disk.HANGING) {
            return;
        }
        writing = true;
        Write next = writes.get(0);
        world.schedule((long) (syncNanos * (0.3 + world.random.nextDouble())), () -> {
            writing = false;
            if (disk != Disk.HANGING && writes.remove(next)) {
                boolean whole = disk == Disk.WELL;
                // A refused write may be there all the same.
                if (whole || world.random.nextInt(4) == 0) {
                    put(next.records);
                }
                next.of.deliver(() -> next.done.accept(whole));
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

    /** Timers and messages that were due come now. */
    void thaw() {
        frozen = false;
        List<Runnable> due = List.copyOf(late);
        late.clear();
        Process of = process;
        due.forEach(of::deliver);
    }

    /** One life of a process. */
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
                world.violations.add("the disk of " + host + " cannot be used: " + e.getMessage());
            }
        }

        /** Has this process do it, when it can. */
        void deliver(Runnable what) {
            if (dead) {
                return;
            }
            if (frozen) {
                late.add(what);
            } else {
                what.run();
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
        public Runnable schedule(long nanos, Runnable what) {
            boolean[] off = new boolean[1];
            world.schedule(
                    nanos,
                    () -> deliver(() -> {
                        if (!off[0]) {
                            what.run();
                        }
                    }));
            return () -> off[0] = true;
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
                writes.add(new Write(new LinkedHashMap<>(records), this, whole -> {}));
                deliver(() -> done.accept(true));
            } else {
                writes.add(new Write(new LinkedHashMap<>(records), this, done));
            }
            sync();
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
        public void log(String what) {
            if (Boolean.getBoolean("sim.notes")) {
                System.out.println(world.now() / 1_000_000 - 1_000_000 + " " + host + " " + what);
            }
        }

        /** A message that has come; throws where it is malformed. */
        void take(String from, Message message) throws MalformedMessage {
            if (controlNode != null) {
                controlNode.handleMessage(from, message);
            } else {
                proxy.handleMessage(from, message);
            }
        }
    }
}
