package saltdale.node;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import saltdale.control.ControlNode;
import saltdale.control.ControlNodeSettings;
import saltdale.control.MalformedMessage;
import saltdale.control.message.Message;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.serving.ServerConnection;
import saltdale.storage.RecordStore;
import saltdale.storage.RecordStoreException;
import saltdale.transport.Listener;

/** A control node as a process: its disk, its connections, and the calls of operators. */
final class ControlProcess extends RequestHandler implements NodeProcess, PeerConnections.Reader {
    private static final int MOST_BODY = 8 << 20; // of a configuration, in bytes

    /** Times the time for an acknowledgement: an operator has gone to another control node long before its 408. */
    private static final int SLOWEST_REQUEST = 4;

    private static final int LEAVING_TENTHS = 7; // of the grace, for a successor to take the place of this one
    private static final byte[] NOTHING = new byte[0];

    private final Settings settings;
    private final ControlNode controlNode;
    private final SeedWatch seedWatch;
    private boolean ending;

    ControlProcess(Settings settings) throws IOException, Settings.Wrong {
        this.settings = settings;
        Map<String, byte[]> records = new HashMap<>();
        RecordStore recordStore = null;
        if (settings.data != null) {
            recordStore = open(settings, records);
        }
        RecordStore on = recordStore;
        environment = new EventLoopEnvironment(settings, on == null ? all -> {} : on::write, this);
        ControlNodeSettings nodeSettings = new ControlNodeSettings(
                settings.name,
                settings.host,
                settings.zone,
                settings.seeds,
                settings.firstStart,
                settings.toleratedLosses,
                settings.heartbeat,
                settings.acknowledge,
                settings.drain,
                settings.rates);
        ControlNode made;
        try {
            made = new ControlNode(
                    environment, nodeSettings, new PlatformClient(environment, settings.platform), records);
        } catch (MalformedMessage e) {
            // What cannot be read back whole is as good as lost: another voter, who knows nothing, begins.
            environment.ring.wrong(
                    "the records on disk cannot be used, beginning as a new control node: " + e.getMessage());
            Map<String, byte[]> none = new HashMap<>();
            records.keySet().forEach(name -> none.put(name, null));
            environment.persist(none, done -> {});
            try {
                made = new ControlNode(
                        environment, nodeSettings, new PlatformClient(environment, settings.platform), Map.of());
            } catch (MalformedMessage never) {
                throw new IllegalStateException(never);
            }
        }
        controlNode = made;
        seedWatch = new SeedWatch(environment, settings, controlNode::hasMajority, controlNode::setSeeds);
        if (settings.control != null) {
            new Listener(
                    environment.loop,
                    environment.sockets,
                    EventLoopEnvironment.address(settings.control, "listen_addresses.control"),
                    (connection, full) -> new ServerConnection(this, connection, full));
        }
    }

    /** The record store and its records; one that cannot be read is set aside, as a lost disk would be. */
    private static RecordStore open(Settings settings, Map<String, byte[]> records) throws Settings.Wrong {
        try {
            RecordStore recordStore = RecordStore.open(settings.data);
            records.putAll(recordStore.read());
            return recordStore;
        } catch (RecordStoreException e) {
            throw new Settings.Wrong("data_directory " + settings.data + ": " + e.getMessage());
        }
    }

    @Override
    public void run() throws IOException {
        controlNode.start();
        seedWatch.begin();
        environment.noteTraffic(Duration.ofSeconds(10));
        environment.loop.run(() -> {});
    }

    /** Told to end: duties and the place among the voters are handed on, then it is over. */
    @Override
    public void end() {
        environment.loop.execute(() -> {
            if (!ending) {
                ending = true;
                long within = settings.grace * LEAVING_TENTHS / 10;
                controlNode.shutDown(
                        within, () -> environment.loop.schedule(Duration.ofMillis(50), environment.loop::stop));
            }
        });
    }

    @Override
    public void reload() {
        environment.loop.execute(seedWatch::read);
    }

    // Other processes.

    @Override
    public void message(String fromHost, Message message) throws MalformedMessage {
        if (controlNode != null) {
            controlNode.handleMessage(fromHost, message);
        }
    }

    @Override
    public void broken(String host) {
        // What was lost is asked for again.
    }

    // Operators: one dispatch on method and path.

    @Override
    public void handleRequest(ServerConnection visit, Head head, byte[] body) {
        switch (head.method() + " " + head.path()) {
            case "POST /Configuration.Replace" ->
                controlNode.changeConfiguration(
                        false, head.uniqueHeader("X-Saltdale-Based-On-Version"), body, reply -> tell(visit, reply));
            case "POST /Configuration.Amend" ->
                controlNode.changeConfiguration(
                        true, head.uniqueHeader("X-Saltdale-Based-On-Version"), body, reply -> tell(visit, reply));
            case "GET /Configuration.Read" -> controlNode.readConfiguration(reply -> tell(visit, reply));
            case "GET /metrics" ->
                visit.respond(200, TEXT, environment.counters().toText());
            case "GET /readiness" -> visit.respond(controlNode.hasMajority() ? 200 : 503, "", NOTHING);
            default -> visit.respond(404, "", "no such call");
        }
    }

    private void tell(ServerConnection visit, ControlNode.Reply reply) {
        if (reply.body() != null) {
            visit.respond(reply.status(), "Content-Type: application/json\r\n", reply.body());
        } else if (reply.status() == 200) {
            visit.respond(200, "", NOTHING);
        } else {
            environment.log("refused a call: " + reply.status() + " " + reply.reason());
            visit.respond(reply.status(), reply.status() == 503 ? "Retry-After: 0.2\r\n" : "", reply.reason());
        }
    }

    @Override
    public boolean closesAfter(int status) {
        return ending;
    }

    @Override
    public HttpParser.Limits requestLimits() {
        return new HttpParser.Limits(HttpParser.MAX_HEAD_BYTES, MOST_BODY);
    }

    @Override
    public Duration requestTimeout() {
        return Duration.ofNanos(SLOWEST_REQUEST * settings.acknowledge);
    }
}
