package saltdale.rig.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltdale.protocol.Head;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.judge.EventObserver.ListedHealth;
import saltdale.rig.plan.Scenario;
import saltdale.transport.Connection;
import saltdale.transport.Listener;

/** The list of runners by the platform's protocol: the whole of it, and a watch that stays open. */
public final class RunnerListServer implements RunnerStateListener {
    private static final Duration EMPTY_LINE = Duration.ofSeconds(2);
    private static final Pattern FROM = Pattern.compile("[?&]from=(\\d{1,18})");
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final class Entry {
        ListedHealth health = ListedHealth.UP;
        /** Null: long ago. */
        Duration bornAt;

        long version = 1;
    }

    private final LoopThread loopThread;
    private final Scenario day;
    private final LoopbackAddresses places;
    private final Origin origin;
    private final EventObserver witness;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<Asked> open = new HashSet<>();
    private final Map<Integer, LinkCondition> ways = new HashMap<>();
    private long version = 1;
    private boolean mute;

    public RunnerListServer(
            LoopThread loopThread, Scenario day, LoopbackAddresses places, Origin origin, EventObserver witness)
            throws IOException {
        this.loopThread = loopThread;
        this.day = day;
        this.places = places;
        this.origin = origin;
        this.witness = witness;
        for (int i = 0; i < day.runnerCount; i++) {
            entries.add(new Entry());
        }
        for (int j = 0; j < day.dispatcherCount; j++) {
            int dispatcher = j;
            InetSocketAddress at = places.list(j);
            new Listener(
                    loopThread.loop,
                    loopThread.sockets,
                    at,
                    (connection, full) -> open.add(new Asked(connection, dispatcher)));
        }
        beat();
    }

    private void beat() {
        loopThread.loop.schedule(EMPTY_LINE, () -> {
            watches.stream().filter(watch -> speaks(watch.dispatcher)).forEach(watch -> watch.line("\n"));
            beat();
        });
    }

    @Override
    public void runnerChanged(int runner, ListedHealth health, Duration bornAt) {
        Entry entry = entries.get(runner);
        boolean older = entry.bornAt != null && (bornAt == null || bornAt.compareTo(entry.bornAt) < 0);
        if (older) { // guards against a late word of an earlier life
            return;
        }
        entry.health = health;
        entry.bornAt = bornAt;
        entry.version = ++version;
        tellAll();
    }

    @Override
    public void setSilent(boolean silent) {
        mute = silent;
        tellAll();
    }

    @Override
    public void linkChanged(int dispatcher, LinkCondition next) {
        if (next.equals(Objects.requireNonNullElse(ways.put(dispatcher, next), LinkCondition.CLEAR))) {
            return;
        } else if (next.reset()) {
            List.copyOf(open).stream()
                    .filter(each -> each.dispatcher == dispatcher)
                    .forEach(Asked::reset);
        } else if (speaks(dispatcher)) {
            List.copyOf(watches).stream()
                    .filter(watch -> watch.dispatcher == dispatcher)
                    .forEach(Watch::tell);
        }
    }

    private boolean speaks(int dispatcher) {
        LinkCondition way = ways.getOrDefault(dispatcher, LinkCondition.CLEAR);
        return !mute && !way.reset() && !way.isUnresponsive();
    }

    private void tellAll() {
        List.copyOf(watches).stream().filter(watch -> speaks(watch.dispatcher)).forEach(Watch::tell);
    }

    private String text(int dispatcher, long from) {
        ObjectNode list = JSON.createObjectNode();
        list.put("seq", version).put("whole", from < 0);
        ArrayNode hosts = list.putArray("hosts");
        Duration now = origin.now();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.version <= from || from < 0 && entry.health == ListedHealth.GONE) {
                continue;
            }
            hosts.addObject()
                    .put("host", "r" + i)
                    .put("dial", LoopbackAddresses.text(places.runner(i, dispatcher)))
                    .put("site", day.zone(i))
                    .put("class", day.runnerType(i).name())
                    .put("block", day.cell(i))
                    .put(
                            "health",
                            switch (entry.health) {
                                case UP -> "up";
                                case DRAINING -> "draining";
                                case GONE -> "removed";
                            })
                    .put("share", 1.0)
                    .put("born_ms", entry.bornAt == null ? 0 : origin.unixMillis + entry.bornAt.toMillis());
            witness.listEntryReceived(now, dispatcher, i, entry.health, entry.bornAt);
        }
        try {
            return JSON.writeValueAsString(list);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The list as a dispatcher would have had it last. */
    public String known(int dispatcher) {
        return text(dispatcher, -1);
    }

    private final class Asked extends Exchange {
        private final int dispatcher;
        private Watch watch;

        Asked(Connection connection, int dispatcher) {
            super(connection, origin);
            this.dispatcher = dispatcher;
        }

        @Override
        protected void onRequest(Head head, byte[] body, Duration first) {
            if (ways.getOrDefault(dispatcher, LinkCondition.CLEAR).reset()) {
                reset();
                return;
            } else if (!speaks(dispatcher)) {
                return; // silent while discovery is down
            }
            if (!head.path().equals("/discovery/hosts") || !head.method().equals("GET")) {
                connection.send(ByteBuffer.wrap(answer(404, "", "")));
                responseSent();
            } else if (head.target().contains("watch=1")) {
                watch = new Watch(connection, dispatcher, from(head.target()));
                watches.add(watch);
            } else {
                connection.send(
                        ByteBuffer.wrap(answer(200, "Content-Type: application/json\r\n", text(dispatcher, -1))));
                responseSent();
            }
        }

        void reset() {
            disconnected("reset");
            connection.reset();
        }

        @Override
        public void disconnected(String cause) {
            watches.remove(watch);
            open.remove(this);
        }
    }

    private static long from(String target) {
        Matcher m = FROM.matcher(target);
        return m.find() ? Long.parseLong(m.group(1)) : -1;
    }

    private final class Watch {
        private final Connection connection;
        private final int dispatcher;
        private long told;

        Watch(Connection connection, int dispatcher, long from) {
            this.connection = connection;
            this.dispatcher = dispatcher;
            this.told = from > version ? -1 : from;
            connection.send(ByteBuffer.wrap(
                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + "Transfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII)));
            tell();
        }

        void tell() {
            String text = text(dispatcher, told);
            told = version;
            line(text + "\n");
        }

        void line(String line) {
            byte[] text = line.getBytes(StandardCharsets.UTF_8);
            connection.send(
                    ByteBuffer.wrap((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII)),
                    ByteBuffer.wrap(text),
                    ByteBuffer.wrap("\r\n".getBytes(StandardCharsets.US_ASCII)));
        }
    }
}
