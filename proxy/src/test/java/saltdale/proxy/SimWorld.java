package saltdale.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongBiFunction;
import saltdale.control.ControlNode;
import saltdale.control.ControlNodeSettings;
import saltdale.control.Environment;
import saltdale.control.MalformedMessage;
import saltdale.control.Platform;
import saltdale.control.ReplicatedState;
import saltdale.control.Voter;
import saltdale.control.message.BallotMessage.Chosen;
import saltdale.control.message.Message;
import saltdale.control.message.MessageCodec;

/**
 * Simulates a whole cluster in one thread and deterministically from one seed: a monotonic clock, connections, disks
 * and processes. {@link SimPlatform} simulates the platform with its instances.
 */
final class SimWorld {
    static final long HEARTBEAT_NANOS = Environment.millisToNanos(1200);
    static final String[] ZONES = {"z-a", "z-b", "z-c"};

    /** Replaces a message, as a faulty variant of the code would send it; null drops the message. */
    interface MessageRewriter {
        Message of(String from, String to, Message message);
    }

    /** Creates the control node of a process; tests use it to create deliberately faulty variants. */
    interface ControlNodeFactory {
        ControlNode of(
                Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
                throws MalformedMessage;
    }

    private record Event(long dueAt, long order, Runnable task) {}

    final SplittableRandom random;
    final SimPlatform platform;
    final Map<String, SimMachine> machines = new LinkedHashMap<>(); // by host
    final List<SimMachine> controlNodes = new ArrayList<>();
    final List<SimMachine> proxies = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>(); // "from>to"
    final Map<Long, ReplicatedState> chosenByVersion = new HashMap<>(); // announced chosen states, by version
    private final NavigableMap<Long, Long> newestVersionByTime = new TreeMap<>(); // of the announced chosen states
    final List<String> violations = new ArrayList<>(); // of what must always hold
    /** Gets each message that is sent. */
    Consumer<Message> messageObserver = message -> {};

    /** Creates the transport of a proxy. */
    Function<SimMachine.Process, Transport> transports;

    MessageRewriter messageRewriter = (from, to, message) -> message;
    /** Runs after each event. */
    Runnable afterEachEvent = () -> {};

    final Set<String> stalledHosts = new HashSet<>(); // hosts whose messages are held back until they are released
    private final List<Runnable> heldBack = new ArrayList<>();
    /** Gets each message that is sent, with the hosts of its sender and its receiver. */
    interface SendObserver {
        void sent(String from, String to, Message message);
    }

    SendObserver sendObserver = (from, to, message) -> {};

    Platform.Rates rates = new Platform.Rates(26, 105, List.of("starting"));
    boolean acknowledgesBeforeSync; // deliberate fault: writes are acknowledged before they are synced
    int toleratedLosses = 1; // in machines
    int toleratedZones;

    ControlNodeFactory controlNodeFactory = ControlNode::new;
    ReplicatedState newestChosen; // the newest announced chosen state
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.dueAt != b.dueAt ? Long.compare(a.dueAt, b.dueAt) : Long.compare(a.order, b.order));
    private final Map<String, Long> lastArrivalAt = new HashMap<>();
    /** Bits per second that a machine sends and receives in total, by host; machines without an entry have no limit. */
    final Map<String, Long> linkSpeeds = new HashMap<>();
    /** The bytes that a message takes on the links; deliberately faulty variants make it more. */
    ToLongBiFunction<Message, byte[]> wireBytes = (message, bytes) -> withHeaders(bytes.length);

    private final Map<String, Long> linkFreeAt = new HashMap<>(); // by host
    private long order;
    private long now = Environment.millisToNanos(1_000_000);

    SimWorld(long seed) {
        random = new SplittableRandom(seed);
        platform = new SimPlatform(this);
        transports = platform::transport;
    }

    // Time.

    long now() {
        return now;
    }

    /** Runs a task after this time. */
    void schedule(long nanos, Runnable task) {
        events.add(new Event(now + Math.max(0, nanos), order++, task));
    }

    /** Runs all events of this time. */
    void run(long ms) {
        runUntil(ms, () -> false);
    }

    /** Runs until the condition holds, for at most this time. Returns whether it holds. */
    boolean runUntil(long ms, BooleanSupplier condition) {
        long end = now + Environment.millisToNanos(ms);
        while (!condition.getAsBoolean()) {
            if (events.isEmpty() || events.peek().dueAt > end) {
                now = end;
                return condition.getAsBoolean();
            }
            Event next = events.poll();
            now = next.dueAt;
            next.task.run();
            afterEachEvent.run();
        }
        return true;
    }

    /** Returns a random network delay: short as a rule, long for one message in twenty. */
    long randomDelayNanos() {
        return (long) ((0.2 + random.nextDouble() * (random.nextInt(20) == 0 ? 40 : 1.5)) * 1e6);
    }

    // Machines.

    /** Adds a control node; it is not started. */
    SimMachine controlNode(String host, List<String> seeds, boolean firstStart) {
        SimMachine machine =
                new SimMachine(this, host, ZONES[controlNodes.size() % ZONES.length], seeds, true, firstStart);
        controlNodes.add(machine);
        return machine;
    }

    /** Adds a proxy; it is not started. */
    SimMachine proxy(String host, String zone) {
        SimMachine machine = new SimMachine(
                this,
                host,
                zone,
                controlNodes.stream().limit(3).map(k -> k.host).toList(),
                false,
                false);
        proxies.add(machine);
        return machine;
    }

    /** Adds control nodes before their first start and proxies spread over the zones; starts none of them. */
    SimWorld withNodes(int controlNodeCount, int proxyCount) {
        toleratedLosses = controlNodeCount / 2;
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= controlNodeCount; i++) {
            hosts.add("10.0.0." + i);
        }
        hosts.forEach(host -> controlNode(host, hosts.subList(0, Math.min(3, controlNodeCount)), true));
        for (int i = 1; i <= proxyCount; i++) {
            proxy("10.1.0." + i, ZONES[i % ZONES.length]);
        }
        return this;
    }

    SimWorld startAll() {
        List.copyOf(machines.values()).forEach(SimMachine::start);
        return this;
    }

    void cut(SimMachine a, SimMachine b) {
        cutOneWay(a, b);
        cutOneWay(b, a);
    }

    void cutOneWay(SimMachine from, SimMachine to) {
        cutLinks.add(from.host + ">" + to.host);
    }

    /** Cuts the links between this control node and all others, in both directions. */
    void isolate(SimMachine controlNode) {
        controlNodes.stream().filter(k -> k != controlNode).forEach(k -> cut(controlNode, k));
    }

    // Messages.

    /** Sends the messages of stalled hosts that were held back, all at once. */
    void releaseStalled() {
        stalledHosts.clear();
        List<Runnable> due = List.copyOf(heldBack);
        heldBack.clear();
        due.forEach(Runnable::run);
    }

    void send(String from, String host, Message original) {
        Message message = messageRewriter.of(from, host, original);
        if (message == null) {
            return;
        } else if (stalledHosts.contains(from)) {
            heldBack.add(() -> transmit(from, host, message));
            return;
        }
        transmit(from, host, message);
    }

    private void transmit(String from, String host, Message message) {
        messageObserver.accept(message);
        sendObserver.sent(from, host, message);
        if (message instanceof Chosen announced) {
            recordChosen(announced.state());
        }
        String link = from + ">" + host;
        if (cutLinks.contains(link)) {
            return;
        }
        byte[] bytes = MessageCodec.encode(message);
        if (host.equals(from)) {
            arrive(link, host, from, bytes);
            return;
        }
        long onWire = wireBytes.applyAsLong(message, bytes);
        overLink(from, onWire, () -> delay(link, () -> overLink(host, onWire, () -> arrive(link, host, from, bytes))));
    }

    /** Adds the length field of the frame and the headers of TCP and IP. */
    static long withHeaders(long bytes) {
        return bytes + 4 + 40 * (1 + bytes / 1460);
    }

    /** Runs a task once the machine's link has carried these bytes after all earlier ones; at once without a limit. */
    private void overLink(String host, long bytes, Runnable task) {
        Long speed = linkSpeeds.get(host);
        if (speed == null) {
            task.run();
            return;
        }
        long freeAt = Math.max(now, linkFreeAt.getOrDefault(host, 0L)) + bytes * 8 * 1_000_000_000L / speed;
        linkFreeAt.put(host, freeAt);
        schedule(freeAt - now, task);
    }

    /** Adds other traffic to a machine's link, such as requests and responses. */
    void addLinkTraffic(String host, long bytes) {
        overLink(host, bytes, () -> {});
    }

    /** Delays a message by a random time; the messages from one host to another keep their order. */
    private void delay(String link, Runnable task) {
        long due = Math.max(now + randomDelayNanos(), lastArrivalAt.getOrDefault(link, 0L));
        lastArrivalAt.put(link, due);
        schedule(due - now, task);
    }

    /** Delivers a message after all other events of this time, unless the link has been cut in the meantime. */
    private void arrive(String link, String host, String from, byte[] bytes) {
        schedule(0, () -> {
            SimMachine to = machines.get(host);
            if (to != null && to.process != null && !cutLinks.contains(link)) {
                SimMachine.Process process = to.process;
                process.deliver(() -> receive(process, from, bytes));
            }
        });
    }

    private void receive(SimMachine.Process process, String from, byte[] bytes) {
        try {
            process.receive(from, MessageCodec.decode(bytes));
        } catch (MalformedMessage e) {
            violations.add("malformed message from " + from + ": " + e.getMessage());
        }
    }

    private void recordChosen(ReplicatedState state) {
        ReplicatedState before = chosenByVersion.putIfAbsent(state.version(), state);
        if (before != null && !before.equals(state)) {
            violations.add("version " + state.version() + " is both " + before + " and " + state);
        }
        if (newestChosen == null || state.version() > newestChosen.version()) {
            newestChosen = state;
            newestVersionByTime.put(now, state.version());
        }
    }

    /** Checks that a read or a change is not answered from a state older than the newest one when it was queued. */
    void checkAnsweredFrom(String host, ReplicatedState state, long queuedAt) {
        Map.Entry<Long, Long> newest = newestVersionByTime.lowerEntry(queuedAt);
        if (newest != null && newest.getValue() > state.version()) {
            violations.add(host + " at " + (now / 1_000_000 - 1_000_000) + " ms: answered from version "
                    + state.version() + " though " + newest.getValue() + " was chosen before");
        }
    }

    /** The ids of the voters in the newest announced state. */
    List<String> voters() {
        return newestChosen == null
                ? List.of()
                : newestChosen.voters().stream().map(Voter::id).toList();
    }

    /** Whether a change of voters is in progress in the newest announced state. */
    boolean isJoint() {
        return newestChosen != null && newestChosen.isJoint();
    }
}
