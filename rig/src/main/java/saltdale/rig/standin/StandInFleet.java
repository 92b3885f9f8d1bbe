package saltdale.rig.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltdale.model.LoadReport;
import saltdale.model.Workload;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.rig.fleet.Receipts;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.RunnerModel.End;
import saltdale.rig.fleet.Weather;
import saltdale.rig.fleet.Weather.Act;
import saltdale.rig.fleet.Work;
import saltdale.rig.judge.Witness;
import saltdale.rig.judge.Witness.Health;
import saltdale.rig.load.Watch;
import saltdale.rig.plan.Day;
import saltdale.rig.plan.Job;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;
import saltdale.transport.Connection;
import saltdale.transport.Listener;
import saltdale.transport.Pool;
import saltdale.transport.Timer;

/** The runners of a day on sockets, by the platform's protocol; each is a model with a loop for its clock. */
public final class StandInFleet {
    /** The header in which the load tells a runner how much work a job is, in microseconds. */
    public static final String WORK = "Rig-Work-Us";

    private static final Logger LOG = LoggerFactory.getLogger(StandInFleet.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    // small, so that a machine that is cut off can be told by a full one
    private static final int BACKLOG = 8;
    private static final int MOST_TRIES = 10;
    private static final Duration NEWS_LIMIT = Duration.ofSeconds(2);
    private static final Duration NEWS_PAUSE = Duration.ofMillis(100);
    private static final Duration SAMPLE = Duration.ofMillis(250);

    private final Turner turner;
    private final Day day;
    private final Places places;
    private final Origin origin;
    private final Witness witness;
    private final ListWord list;
    private final Weather weather;
    private final Watch watch;
    private final SplittableRandom chance;
    private final Map<String, Workload> workloads = new HashMap<>();
    private final List<Box> boxes = new ArrayList<>();
    private final Map<Integer, Pool> callBacks = new HashMap<>();
    private Duration start = Duration.ZERO;
    private int cutZone = -1;
    private long newsLost;
    private long requests;

    public StandInFleet(Turner turner, Day day, Places places, Origin origin, Witness witness, ListWord list,
                        long seed) throws IOException {
        this.turner = turner;
        this.day = day;
        this.places = places;
        this.origin = origin;
        this.witness = witness;
        this.list = list;
        this.weather = new Weather(day.troubles);
        this.watch = new Watch(day.runners);
        this.chance = new SplittableRandom(seed);
        for (Job job : day.jobs) {
            workloads.put(job.name(), job.workload());
        }
        for (int j = 0; j < day.dispatchers; j++) {
            callBacks.put(j, new Pool(turner.loop, turner.sockets, places.dispatcher(j), NEWS_LIMIT,
                    Duration.ofSeconds(2)));
        }
        List<Receipts.Shared> receipts = Receipts.of(day);
        for (int i = 0; i < day.runners; i++) {
            boxes.add(new Box(i, receipts.get(i)));
        }
    }

    /** The day began at this time: its troubles come by it. */
    public void begin(Duration at) {
        start = at;
        for (Weather.Turn turn : weather.turns()) {
            turner.loop.after(turn.at().plus(start).minus(origin.now()), () -> act(turn));
        }
        sample();
    }

    /** How many calls to dispatchers were never answered, of all tries of each. */
    public long newsLost() {
        return newsLost;
    }

    /** How many requests the runners were sent, of all kinds. */
    public long requests() {
        return requests;
    }

    public Watch watch() {
        return watch;
    }

    private void sample() {
        for (Box box : boxes) {
            box.model.advance(origin.now());
            watch.sample(origin.now(), box.number, box.model.held(), box.model.isUp() && !box.silent);
        }
        turner.loop.after(SAMPLE, this::sample);
    }

    private void act(Weather.Turn turn) {
        Trouble trouble = turn.trouble();
        switch (turn.act()) {
            case CUT -> {
                cutZone = (int) trouble.size();
                boxes.forEach(Box::gates);
            }
            case HEAL -> {
                cutZone = -1;
                boxes.forEach(Box::gates);
            }
            case MUTE -> list.mute(true);
            case UNMUTE -> list.mute(false);
            // the dispatchers' own; what is on the wire is looked up at each answer
            case KILL, REVIVE, WIRE -> { }
            default -> trouble.runners().forEach(i -> boxes.get(i).act(turn.act(), turn.at()));
        }
    }

    // ---- A runner.

    private final class Box implements RunnerModel.Told {
        final int number;
        final RunnerModel model;
        final List<Gate> gates = new ArrayList<>();
        final Map<Work, Telling> tellings = new HashMap<>();
        boolean silent;
        private Timer wake;
        private Duration wakeAt;

        Box(int number, Receipts.Shared receipts) throws IOException {
            this.number = number;
            model = new RunnerModel(day.make(number), receipts, day.orders.tipMultiple, day.orders.fall,
                    day.meanSize(), chance.split(), this);
            for (int j = 0; j < day.dispatchers; j++) {
                gates.add(new Gate(this, j));
            }
        }

        void gates() {
            gates.forEach(Gate::set);
        }

        void schedule() {
            Duration next = model.nextAt();
            if (next == null || next.equals(wakeAt)) {
                return;
            }
            if (wake != null) {
                wake.cancel();
            }
            wakeAt = next;
            wake = turner.loop.after(next.minus(turner.loop.now()).minus(drift()), () -> {
                wakeAt = null;
                wake = null;
                model.advance(origin.now());
                schedule();
            });
        }

        /** What lies between the run's clock and the loop's. */
        private Duration drift() {
            return origin.now().minus(turner.loop.clock());
        }

        void act(Act act, Duration at) {
            Duration now = origin.now();
            switch (act) {
                // By the hour that it was set for: a timer may come a little before its time, and none would
                // follow.
                case CONDITION -> model.condition(now, weather.condition(number, at));
                case CRASH -> {
                    gates.forEach(Gate::shut);
                    model.stop(now);
                    lists(Health.GONE, day.silentNotice);
                }
                case VANISH -> {
                    silent = true;
                    witness.silent(now, number);
                    gates();
                    tellings.clear();
                    model.stop(now);
                    lists(Health.GONE, day.silentNotice);
                }
                case DRAIN, HAND_BACK -> {
                    model.drain(now, act == Act.HAND_BACK);
                    lists(Health.DRAINING, day.notice);
                }
                case REMOVE -> {
                    gates.forEach(Gate::shut);
                    model.stop(now);
                    lists(Health.GONE, day.notice);
                }
                case START -> {
                    silent = false;
                    model.start(now);
                    witness.started(now, number, model.make);
                    gates.forEach(Gate::renew);
                    lists(Health.UP, day.notice);
                }
                default -> { }
            }
            schedule();
        }

        private void lists(Health health, Duration notice) {
            Duration bornAt = model.bornAt();
            turner.loop.after(notice, () -> list.changed(number, health, bornAt));
        }

        boolean has(Kind wire) {
            return wire(wire) != null;
        }

        Trouble wire(Kind kind) {
            if (day.troubles.isEmpty()) {
                return null;
            }
            for (Trouble each : weather.wire(number, origin.now().minus(start))) {
                if (each.kind() == kind) {
                    return each;
                }
            }
            return null;
        }

        // The model tells.

        @Override
        public void started(Duration at, Work work) {
            if (day.orders.tellsStart) {
                telling(work).add("started", -1, null);
            }
        }

        @Override
        public void running(Duration at, Work work, double share) {
            telling(work).add("running", share, null);
        }

        @Override
        public void ended(Duration at, Work work, End how) {
            String result = work.id + "@" + number;
            Duration now = origin.now();
            switch (how) {
                case DONE -> {
                    if (work.isRepeat()) {
                        witness.made(now, work.id, result);
                    } else {
                        witness.effect(now, work.id, number, result);
                    }
                    witness.over(now, work.id, number);
                }
                case RETURNED -> witness.unstarted(now, work.id, number);
                default -> witness.over(now, work.id, number);
            }
            if (silent) {
                return;  // the machine has vanished with its agent
            }
            telling(work).add(how.name().toLowerCase(Locale.ROOT), -1, how == End.DONE ? result : null);
            tellings.remove(work);
        }

        private Telling telling(Work work) {
            return tellings.computeIfAbsent(work, w -> new Telling(this, w));
        }
    }

    /** Where one dispatcher reaches one runner. */
    private final class Gate {
        final Box box;
        final int dispatcher;
        private final InetSocketAddress at;
        private Listener listener;
        private final Set<Served> open = new HashSet<>();
        private final List<SocketChannel> plugs = new ArrayList<>();
        private boolean muted;

        Gate(Box box, int dispatcher) throws IOException {
            this.box = box;
            this.dispatcher = dispatcher;
            this.at = places.runner(box.number, dispatcher);
            listen();
        }

        private void listen() throws IOException {
            listener = new Listener(turner.loop, turner.sockets, at, BACKLOG,
                    (connection, full) -> open.add(new Served(this, connection)));
        }

        boolean isMuted() {
            return muted;
        }

        /** Falls silent or speaks again, as the machine and the links are by now. */
        void set() {
            int here = box.number % day.zones.size();
            int there = dispatcher % day.zones.size();
            boolean cut = here != there && (cutZone == here || cutZone == there);
            boolean mute = box.silent || cut;
            if (mute == muted || listener == null) {
                return;
            }
            muted = mute;
            listener.hold(mute);
            open.forEach(each -> each.reading(!mute));
            if (mute) {
                plug();
            } else {
                plugs.forEach(StandInFleet::quietly);
                plugs.clear();
            }
        }

        /** Fills the kernel's queue, so that what connects from now on gets no answer at all. */
        private void plug() {
            for (int i = 0; i < BACKLOG + 2; i++) {
                try {
                    SocketChannel channel = SocketChannel.open();
                    channel.configureBlocking(false);
                    channel.connect(at);
                    plugs.add(channel);
                } catch (IOException e) {
                    return;  // it is full already
                }
            }
        }

        /** The process has died: its connections end, and new ones are refused. */
        void shut() {
            plugs.forEach(StandInFleet::quietly);
            plugs.clear();
            try {
                if (listener != null) {
                    listener.close();
                }
            } catch (IOException e) {
                LOG.warn("{} can't be closed: {}", at, e.getMessage());
            }
            listener = null;
            List.copyOf(open).forEach(Served::drop);
            open.clear();
            muted = false;
        }

        /**
         * It is back: what was open through its silence is reset, and it listens again if it had ceased to.
         */
        void renew() {
            List.copyOf(open).forEach(Served::drop);
            open.clear();
            try {
                if (listener == null) {
                    listen();
                }
            } catch (IOException e) {
                LOG.error("{} can't be listened at again: {}", at, e.getMessage());
            }
            set();
        }
    }

    private static void quietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // nothing is left to be done with it
        }
    }

    /** A connection from a dispatcher. */
    private final class Served extends Exchange {
        private final Gate gate;
        private final Box box;
        private Work unanswered;

        Served(Gate gate, Connection connection) {
            super(connection, origin);
            this.gate = gate;
            this.box = gate.box;
        }

        void reading(boolean wanted) {
            connection.reading(wanted);
        }

        void drop() {
            connection.close();
        }

        @Override
        public void ended(String cause) {
            gate.open.remove(this);
            if (unanswered != null) {  // closed before the 202: given up
                box.model.takeBack(origin.now(), unanswered.id, gate.dispatcher);
                witness.over(origin.now(), unanswered.id, box.number);
                box.schedule();
            }
        }

        @Override
        void requested(Head head, byte[] body, Duration first) {
            requests++;
            String path = head.path();
            if (head.method().equals("POST")) {
                job(head, first);
            } else if (head.method().equals("DELETE") && path.startsWith("/jobs/")) {
                String id = path.substring("/jobs/".length());
                box.model.takeBack(origin.now(), id, gate.dispatcher);
                witness.over(origin.now(), id, box.number);
                box.schedule();
                say(answer(204, "", ""));
            } else if (path.equals("/alive") && day.orders.probes) {
                say(answer(200, "", ""));
            } else if (path.equals("/metrics/load") && day.orders.probes) {
                say(answer(200, "Content-Type: application/json\r\n", load(report())));
            } else {
                say(answer(404, "", ""));
            }
        }

        private LoadReport report() {
            LoadReport report = box.model.report(origin.now());
            box.schedule();
            watch.told(box.number, report);
            return report;
        }

        private void job(Head head, Duration first) {
            String path = head.path();
            int slash = path.indexOf('/', 1);
            Workload workload = workloads.get(path.substring(1, slash < 0 ? path.length() : slash));
            String id = head.single("Request-Id");
            String size = head.header(WORK);
            if (workload == null || id == null || size == null || !size.matches("\\d{1,12}")) {
                say(answer(id == null ? 404 : 400, "", ""));
                return;
            }
            Duration now = origin.now();
            Work work = new Work(id, workload.repeat == Workload.Repeat.PURE ? null
                    : head.single("Idempotency-Key"),
                    workload, Long.parseLong(size) / 1e6, gate.dispatcher);
            witness.reached(first, now, id, box.number, gate.dispatcher, work.size);
            if (!box.model.isUp()) {
                drop();
                return;
            }
            unanswered = work;
            RunnerModel.Offer offer = box.model.offer(now, work);
            switch (offer) {
                case TAKEN -> {
                    if (box.has(Kind.EARLY_NEWS)) {
                        turner.loop.after(Duration.ofMillis(20), () -> say(answer(202, "", "")));
                    } else {
                        say(answer(202, "", ""));
                    }
                }
                case FULL, DRAINING -> {
                    witness.unstarted(now, id, box.number);
                    say(answer(503, "Not-Started: 1\r\n" + header(), ""));
                }
                case ERROR -> {
                    witness.over(now, id, box.number);
                    say(answer(500, header(), ""));
                }
                case FELL -> {
                    witness.over(now, id, box.number);
                    box.gates.forEach(Gate::shut);
                }
            }
            box.schedule();
        }

        private String header() {
            LoadReport r = report();
            return String.format(Locale.ROOT, "Server-Load: concurrent=%.0f,depth=%.0f,x0=%.0f\r\n",
                    r.inFlight(),
                    r.queue(), r.freeSlots());
        }

        /** Sends an answer, as whole as the wire lets it be. */
        private void say(byte[] answer) {
            if (gate.isMuted()) {
                return;
            }
            Trouble cut = box.wire(Kind.CUT_ANSWERS);
            Trouble drip = box.wire(Kind.DRIP_ANSWERS);
            if (cut != null && cut.size() < answer.length) {
                Work lost = unanswered;
                unanswered = null;
                connection.send(ByteBuffer.wrap(answer, 0, (int) cut.size()));
                connection.finish();
                gate.open.remove(this);
                if (lost != null) {
                    witness.over(origin.now(), lost.id, box.number);  // as the dispatcher sees it
                }
            } else if (drip != null) {
                drip(answer, 0, Duration.ofNanos((long) (drip.size() * 1e6)));
            } else {
                unanswered = null;
                connection.send(ByteBuffer.wrap(answer));
                answered();
            }
        }

        private void drip(byte[] answer, int from, Duration gap) {
            if (!connection.isOpen()) {
                return;
            }
            connection.send(ByteBuffer.wrap(answer, from, 1));
            if (from + 1 < answer.length) {
                turner.loop.after(gap, () -> drip(answer, from + 1, gap));
            } else {
                unanswered = null;
                answered();
            }
        }
    }

    private static String load(LoadReport r) {
        return String.format(Locale.ROOT, "{\"concurrent\":%.0f,\"depth\":%.0f,\"x0\":%.0f}", r.inFlight(),
                r.queue(),
                r.freeSlots());
    }

    // ---- What a runner tells of a job: in order, each until it is answered.

    private final class Telling {
        private final Box box;
        private final Work work;
        private final Deque<byte[]> waiting = new ArrayDeque<>();
        private boolean busy;
        private int tries;

        Telling(Box box, Work work) {
            this.box = box;
            this.work = work;
        }

        void add(String state, double share, String result) {
            if (box.has(Kind.NO_NEWS)) {
                return;
            }
            ObjectNode object = JSON.createObjectNode();
            object.put("id", work.id).put("from", "r" + box.number).put("state", state);
            if (share >= 0) {
                object.put("share", share);
            }
            if (result != null) {
                object.put("result", result);
            }
            if (!state.equals("started") && !state.equals("running")) {
                LoadReport r = box.model.report(origin.now());
                object.putObject("load").put("concurrent", r.inFlight()).put("depth", r.queue()).put("x0",
                        r.freeSlots());
            }
            byte[] body = object.toString().getBytes(StandardCharsets.UTF_8);
            byte[] head = ("POST /_jobs/news HTTP/1.1\r\nHost: " + Places.text(places.dispatcher(work.from))
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            byte[] call = new byte[head.length + body.length];
            System.arraycopy(head, 0, call, 0, head.length);
            System.arraycopy(body, 0, call, head.length, body.length);
            if (box.has(Kind.SHUFFLED_NEWS) && !waiting.isEmpty()) {
                waiting.addFirst(call);
            } else {
                waiting.addLast(call);
            }
            if (box.has(Kind.TWICE_NEWS)) {
                waiting.addLast(call);
            }
            // Out of order: held a little, so that there is another to pass it.
            turner.loop.after(box.has(Kind.SHUFFLED_NEWS) ? Duration.ofMillis(20) : Duration.ZERO,
                    this::next);
        }

        private void next() {
            if (busy || waiting.isEmpty()) {
                return;
            }
            if (box.silent) {
                waiting.clear();
                return;
            }
            if (box.gates.get(work.from).isMuted()) {
                turner.loop.after(NEWS_PAUSE, this::next);  // the link is cut: until it is back
                return;
            }
            busy = true;
            new NewsCall(callBacks.get(work.from), waiting.peek(), this::told).begin();
        }

        private void told(boolean heard) {
            busy = false;
            if (heard || ++tries >= MOST_TRIES) {
                newsLost += heard ? 0 : 1;
                tries = 0;
                waiting.poll();
                next();
            } else {
                turner.loop.after(NEWS_PAUSE, this::next);
            }
        }
    }

    private final class NewsCall implements Connection.Owner {
        private final Pool pool;
        private final byte[] call;
        private final Consumer<Boolean> after;
        private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
        private Connection connection;
        private Timer limit;

        NewsCall(Pool pool, byte[] call, Consumer<Boolean> after) {
            this.pool = pool;
            this.call = call;
            this.after = after;
        }

        void begin() {
            connection = pool.take(this);
            if (connection == null) {
                turner.loop.soon(() -> after.accept(false));
                return;
            }
            connection.send(ByteBuffer.wrap(call));
            limit = turner.loop.after(NEWS_LIMIT, () -> {
                connection.close();
                after.accept(false);
            });
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.take(bytes);
            if (parser.bad()) {
                connection.close();
                end(false);
            } else if (parser.whole()) {
                if (parser.head().keepsAlive()) {
                    pool.rest(connection);
                } else {
                    connection.close();
                }
                int status = parser.head().status();
                end(status == 200 || status == 204 || status == 400);
            }
        }

        @Override
        public void ended(String cause) {
            end(false);
        }

        private void end(boolean heard) {
            limit.cancel();
            after.accept(heard);
        }
    }
}
