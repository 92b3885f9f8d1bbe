package saltdale.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
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
 * A whole cluster in one thread, all of one seed: a steady clock, connections, disks, processes; instances by
 * the platform.
 */
final class SimWorld {
    static final long HEARTBEAT_NANOS = Environment.millisToNanos(1200);
    static final String[] ZONES = {"z-a", "z-b", "z-c"};

    /** Changes what is sent, as a wrong variant of the code would; null where it sends nothing. */
    interface MessageRewriter {
        Message of(String from, String to, Message message);
    }

    /** Makes the control node of a process; tests put wrong variants in its place. */
    interface ControlNodeFactory {
        ControlNode of(
                Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
                throws MalformedMessage;
    }

    private record Event(long at, long order, Runnable what) {}

    final SplittableRandom random;
    final SimPlatform platform;
    final Map<String, SimMachine> machines = new LinkedHashMap<>(); // by host
    final List<SimMachine> controlNodes = new ArrayList<>();
    final List<SimMachine> proxies = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>(); // "from>to"
    final Map<Long, ReplicatedState> chosenByVersion = new HashMap<>(); // chosen states told, by version
    final List<String> violations = new ArrayList<>(); // what must never be, as seen
    /** Sees each message that is sent. */
    Consumer<Message> messageObserver = message -> {};

    /** What carries the bytes of a proxy. */
    Function<SimMachine.Process, Transport> transports;

    MessageRewriter messageRewriter = (from, to, message) -> message;
    /** Looks at the world after each event. */
    Runnable afterEachEvent = () -> {};

    final Set<String> stalledHosts = new HashSet<>(); // hosts whose messages leave only once they are released
    private final List<Runnable> held = new ArrayList<>();
    /** Sees each message that is sent, with the hosts of its sender and its receiver. */
    interface SendObserver {
        void sent(String from, String to, Message message);
    }

    SendObserver sendObserver = (from, to, message) -> {};

    Platform.Rates rates = new Platform.Rates(26, 105, List.of("starting"));
    boolean acknowledgesBeforeSync; // wrong: what is written is told of at once
    int toleratedLosses = 1; // machines
    int toleratedZones;

    ControlNodeFactory controlNodeFactory = ControlNode::new;
    ReplicatedState newestChosen; // the newest chosen state told
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, Long> arrived = new HashMap<>();
    /** Bits a second of all that a machine sends and receives, by host; machines without an entry have no limit. */
    final Map<String, Long> linkSpeeds = new HashMap<>();
    /** How many bytes a message takes on the links; a wrong variant makes them more. */
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

    void schedule(long nanos, Runnable what) {
        events.add(new Event(now + Math.max(0, nanos), order++, what));
    }

    void run(long ms) {
        runUntil(ms, () -> false);
    }

    /** Runs until this holds; whether it did within the time. */
    boolean runUntil(long ms, BooleanSupplier holds) {
        long end = now + Environment.millisToNanos(ms);
        while (!holds.getAsBoolean()) {
            if (events.isEmpty() || events.peek().at > end) {
                now = end;
                return holds.getAsBoolean();
            }
            Event next = events.poll();
            now = next.at;
            next.what.run();
            afterEachEvent.run();
        }
        return true;
    }

    /** The way of a message: mostly short, now and then long. */
    long randomDelayNanos() {
        return (long) ((0.2 + random.nextDouble() * (random.nextInt(20) == 0 ? 40 : 1.5)) * 1e6);
    }

    // Machines.

    SimMachine controlNode(String host, List<String> seeds, boolean firstStart) {
        SimMachine made =
                new SimMachine(this, host, ZONES[controlNodes.size() % ZONES.length], seeds, true, firstStart);
        controlNodes.add(made);
        return made;
    }

    SimMachine proxy(String host, String zone) {
        SimMachine made = new SimMachine(
                this,
                host,
                zone,
                controlNodes.stream().limit(3).map(k -> k.host).toList(),
                false,
                false);
        proxies.add(made);
        return made;
    }

    /** So many control nodes at their first start, and so many proxies spread over the zones, not yet begun. */
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

    /** Cuts it from all other control nodes. */
    void isolate(SimMachine controlNode) {
        controlNodes.stream().filter(k -> k != controlNode).forEach(k -> cut(controlNode, k));
    }

    // Messages.

    /** What stalled processes have sent leaves now, late and all at once. */
    void releaseStalled() {
        stalledHosts.clear();
        List<Runnable> due = List.copyOf(held);
        held.clear();
        due.forEach(Runnable::run);
    }

    void send(String from, String host, Message original) {
        Message message = messageRewriter.of(from, host, original);
        if (message == null) {
            return;
        } else if (stalledHosts.contains(from)) {
            held.add(() -> leaves(from, host, message));
            return;
        }
        leaves(from, host, message);
    }

    private void leaves(String from, String host, Message message) {
        messageObserver.accept(message);
        sendObserver.sent(from, host, message);
        if (message instanceof Chosen news) {
            chosen(news.state());
        }
        String way = from + ">" + host;
        if (cutLinks.contains(way)) {
            return;
        }
        byte[] bytes = MessageCodec.encode(message);
        if (host.equals(from)) {
            arrives(way, host, from, bytes);
            return;
        }
        long onWire = wireBytes.applyAsLong(message, bytes);
        overLink(from, onWire, () -> travels(way, () -> overLink(host, onWire, () -> arrives(way, host, from, bytes))));
    }

    /** The frame's length and the headers of TCP and IP. */
    static long withHeaders(long bytes) {
        return bytes + 4 + 40 * (1 + bytes / 1460);
    }

    /** Does this once the bytes are through the machine's link, behind all that came before; at once without limit. */
    private void overLink(String host, long bytes, Runnable then) {
        Long speed = linkSpeeds.get(host);
        if (speed == null) {
            then.run();
            return;
        }
        long free = Math.max(now, linkFreeAt.getOrDefault(host, 0L)) + bytes * 8 * 1_000_000_000L / speed;
        linkFreeAt.put(host, free);
        schedule(free - now, then);
    }

    /** Something else goes over a machine's link, requests and answers for instance. */
    void addLinkTraffic(String host, long bytes) {
        overLink(host, bytes, () -> {});
    }

    /** In order between two hosts; between others any. */
    private void travels(String way, Runnable then) {
        long due = Math.max(now + randomDelayNanos(), arrived.getOrDefault(way, 0L));
        arrived.put(way, due);
        schedule(due - now, then);
    }

    private void arrives(String way, String host, String from, byte[] bytes) {
        schedule(0, () -> {
            SimMachine to = machines.get(host);
            if (to != null && to.process != null && !cutLinks.contains(way)) {
                SimMachine.Process process = to.process;
                process.deliver(() -> take(process, from, bytes));
            }
        });
    }

    private void take(SimMachine.Process process, String from, byte[] bytes) {
        try {
            process.take(from, MessageCodec.decode(bytes));
        } catch (MalformedMessage e) {
            violations.add("malformed, of " + from + ": " + e.getMessage());
        }
    }

    private void chosen(ReplicatedState state) {
        ReplicatedState before = chosenByVersion.putIfAbsent(state.version(), state);
        if (before != null && !before.equals(state)) {
            violations.add("version " + state.version() + " is both " + before + " and " + state);
        }
        if (newestChosen == null || state.version() > newestChosen.version()) {
            newestChosen = state;
        }
    }

    /** Ids of the voters of the newest state told. */
    List<String> voters() {
        return newestChosen == null
                ? List.of()
                : newestChosen.voters().stream().map(Voter::id).toList();
    }

    /** Whether a change of voters is under way, by the newest state told. */
    boolean isJoint() {
        return newestChosen != null && newestChosen.isJoint();
    }
}
