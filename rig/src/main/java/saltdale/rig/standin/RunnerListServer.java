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

/** Serves the list of runners in the discovery protocol: as a full list, or as a watch that stays open. */
public final class RunnerListServer implements RunnerStateListener {
    private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);
    private static final Pattern FROM_PARAMETER = Pattern.compile("[?&]from=(\\d{1,18})");
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final class Entry {
        ListedHealth health = ListedHealth.UP;
        /** Null if the process has been running for long. */
        Duration startedAt;

        long version = 1;
    }

    private final LoopThread loopThread;
    private final Scenario day;
    private final LoopbackAddresses addresses;
    private final Origin origin;
    private final EventObserver observer;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<ListConnection> open = new HashSet<>();
    private final Map<Integer, LinkCondition> linkConditions = new HashMap<>();
    private long version = 1;
    private boolean silent;

    public RunnerListServer(
            LoopThread loopThread, Scenario day, LoopbackAddresses addresses, Origin origin, EventObserver observer)
            throws IOException {
        this.loopThread = loopThread;
        this.day = day;
        this.addresses = addresses;
        this.origin = origin;
        this.observer = observer;
        for (int i = 0; i < day.runnerCount; i++) {
            entries.add(new Entry());
        }
        for (int j = 0; j < day.dispatcherCount; j++) {
            int dispatcher = j;
            InetSocketAddress at = addresses.list(j);
            new Listener(
                    loopThread.loop,
                    loopThread.sockets,
                    at,
                    (connection, full) -> open.add(new ListConnection(connection, dispatcher)));
        }
        scheduleKeepAlive();
    }

    private void scheduleKeepAlive() {
        loopThread.loop.schedule(KEEP_ALIVE_INTERVAL, () -> {
            watches.stream().filter(watch -> isReachable(watch.dispatcher)).forEach(watch -> watch.sendChunk("\n"));
            scheduleKeepAlive();
        });
    }

    @Override
    public void runnerChanged(int runner, ListedHealth health, Duration startedAt) {
        Entry entry = entries.get(runner);
        boolean outdated = entry.startedAt != null && (startedAt == null || startedAt.compareTo(entry.startedAt) < 0);
        if (outdated) { // a late update about an earlier process of the runner
            return;
        }
        entry.health = health;
        entry.startedAt = startedAt;
        entry.version = ++version;
        updateAll();
    }

    @Override
    public void setSilent(boolean silent) {
        this.silent = silent;
        updateAll();
    }

    @Override
    public void linkChanged(int dispatcher, LinkCondition condition) {
        if (condition.equals(
                Objects.requireNonNullElse(linkConditions.put(dispatcher, condition), LinkCondition.CLEAR))) {
            return;
        } else if (condition.reset()) {
            List.copyOf(open).stream()
                    .filter(each -> each.dispatcher == dispatcher)
                    .forEach(ListConnection::reset);
        } else if (isReachable(dispatcher)) {
            List.copyOf(watches).stream()
                    .filter(watch -> watch.dispatcher == dispatcher)
                    .forEach(Watch::sendChanges);
        }
    }

    private boolean isReachable(int dispatcher) {
        LinkCondition link = linkConditions.getOrDefault(dispatcher, LinkCondition.CLEAR);
        return !silent && !link.reset() && !link.isUnresponsive();
    }

    private void updateAll() {
        List.copyOf(watches).stream()
                .filter(watch -> isReachable(watch.dispatcher))
                .forEach(Watch::sendChanges);
    }

    private String listJson(int dispatcher, long fromVersion) {
        ObjectNode list = JSON.createObjectNode();
        list.put("seq", version).put("whole", fromVersion < 0);
        ArrayNode hosts = list.putArray("hosts");
        Duration now = origin.now();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.version <= fromVersion || fromVersion < 0 && entry.health == ListedHealth.GONE) {
                continue;
            }
            hosts.addObject()
                    .put("host", "r" + i)
                    .put("dial", LoopbackAddresses.text(addresses.runner(i, dispatcher)))
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
                    .put("born_ms", entry.startedAt == null ? 0 : origin.unixMillis + entry.startedAt.toMillis());
            observer.listEntryReceived(now, dispatcher, i, entry.health, entry.startedAt);
        }
        try {
            return JSON.writeValueAsString(list);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The current full list, as sent to a dispatcher. */
    public String currentList(int dispatcher) {
        return listJson(dispatcher, -1);
    }

    private final class ListConnection extends Exchange {
        private final int dispatcher;
        private Watch watch;

        ListConnection(Connection connection, int dispatcher) {
            super(connection, origin);
            this.dispatcher = dispatcher;
        }

        @Override
        protected void onRequest(Head head, byte[] body, Duration firstByteAt) {
            if (linkConditions.getOrDefault(dispatcher, LinkCondition.CLEAR).reset()) {
                reset();
                return;
            } else if (!isReachable(dispatcher)) {
                return; // discovery is unavailable: no response
            }
            if (!head.path().equals("/discovery/hosts") || !head.method().equals("GET")) {
                connection.send(ByteBuffer.wrap(answer(404, "", "")));
                responseSent();
            } else if (head.target().contains("watch=1")) {
                watch = new Watch(connection, dispatcher, fromVersion(head.target()));
                watches.add(watch);
            } else {
                connection.send(
                        ByteBuffer.wrap(answer(200, "Content-Type: application/json\r\n", listJson(dispatcher, -1))));
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

    private static long fromVersion(String target) {
        Matcher m = FROM_PARAMETER.matcher(target);
        return m.find() ? Long.parseLong(m.group(1)) : -1;
    }

    private final class Watch {
        private final Connection connection;
        private final int dispatcher;
        private long sentVersion;

        Watch(Connection connection, int dispatcher, long fromVersion) {
            this.connection = connection;
            this.dispatcher = dispatcher;
            this.sentVersion = fromVersion > version ? -1 : fromVersion;
            connection.send(ByteBuffer.wrap(
                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + "Transfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII)));
            sendChanges();
        }

        void sendChanges() {
            String text = listJson(dispatcher, sentVersion);
            sentVersion = version;
            sendChunk(text + "\n");
        }

        void sendChunk(String line) {
            byte[] text = line.getBytes(StandardCharsets.UTF_8);
            connection.send(
                    ByteBuffer.wrap((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII)),
                    ByteBuffer.wrap(text),
                    ByteBuffer.wrap("\r\n".getBytes(StandardCharsets.US_ASCII)));
        }
    }
}
