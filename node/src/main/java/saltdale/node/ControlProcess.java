package saltdale.node;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import saltdale.control.ConfigurationCodec;
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

/** The process of a control node: its record store, its connections to other processes, and the API for operators. */
final class ControlProcess extends RequestHandler implements NodeProcess, PeerConnections.MessageHandler {

    /**
     * The time that a request may take to arrive, in acknowledgement timeouts. An operator turns to another control
     * node long before the response 408.
     */
    private static final int REQUEST_TIMEOUT_FACTOR = 4;

    private static final int HANDOVER_TENTHS = 7; // of the shutdown grace, for a successor to replace this node
    private static final int REQUEST_HEAP_DIVISOR = 8; // the share of the heap that orders may take until answered
    private static final int UNREAD_HEAP_DIVISOR = 8; // the same of versions that clients have yet to read
    private static final String RETRY_AFTER_HEADER = "Retry-After: 0.2\r\n";
    private static final byte[] EMPTY_BODY = new byte[0];
    /** A client that reads nothing of a response for this long loses its connection, which holds a configuration. */
    private static final Duration MAX_TIME_WITHOUT_READING = Duration.ofSeconds(15);

    private static final Duration READING_CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Settings settings;
    private final ControlNode controlNode;
    private final SeedWatch seedWatch;
    private final UnreadConfigurations unreadConfigurations =
            new UnreadConfigurations(Runtime.getRuntime().maxMemory() / UNREAD_HEAP_DIVISOR);
    private boolean shuttingDown;

    ControlProcess(Settings settings) throws IOException, Settings.InvalidSettingsException {
        super(budgetFromHeap(REQUEST_HEAP_DIVISOR, settings.maxFileDescriptors), RETRY_AFTER_HEADER);
        this.settings = settings;
        Map<String, byte[]> records = new HashMap<>();
        RecordStore recordStore = null;
        if (settings.dataDirectory != null) {
            recordStore = openRecordStore(settings, records);
        }
        RecordStore openStore = recordStore;
        environment = new EventLoopEnvironment(settings, openStore == null ? ignored -> {} : openStore::write, this);
        ControlNodeSettings nodeSettings = new ControlNodeSettings(
                settings.name,
                settings.host,
                settings.zone,
                settings.seedHosts,
                settings.firstStart,
                settings.toleratedLosses,
                settings.heartbeatNanos,
                settings.acknowledgeTimeoutNanos,
                settings.drainNanos,
                settings.platformRates);
        ControlNode created;
        try {
            created = new ControlNode(
                    environment, nodeSettings, new PlatformClient(environment, settings.platformAddress), records);
        } catch (MalformedMessage e) {
            // Records that cannot be read completely are treated as lost: the node starts as a new, empty voter.
            environment.logRing.reportError(
                    "records on disk are unusable; starting as a new control node: " + e.getMessage());
            Map<String, byte[]> removals = new HashMap<>();
            records.keySet().forEach(name -> removals.put(name, null));
            environment.persist(removals, ignored -> {});
            try {
                created = new ControlNode(
                        environment, nodeSettings, new PlatformClient(environment, settings.platformAddress), Map.of());
            } catch (MalformedMessage impossible) {
                throw new IllegalStateException(impossible);
            }
        }
        controlNode = created;
        seedWatch = new SeedWatch(environment, settings, controlNode::hasMajority, controlNode::setSeeds);
        if (settings.controlAddress != null) {
            Listener listener = new Listener(
                    environment.loop,
                    environment.sockets,
                    EventLoopEnvironment.parseAddress(settings.controlAddress, "listen_addresses.control"),
                    (connection, overLimit) -> new ServerConnection(this, connection, overLimit));
            listener.limitKernelBuffers();
        }
    }

    /**
     * Opens the record store and reads its records. A store that cannot be read is set aside, as if the disk had been
     * lost.
     */
    private static RecordStore openRecordStore(Settings settings, Map<String, byte[]> records)
            throws Settings.InvalidSettingsException {
        try {
            RecordStore recordStore = RecordStore.open(settings.dataDirectory);
            records.putAll(recordStore.read());
            return recordStore;
        } catch (RecordStoreException e) {
            throw new Settings.InvalidSettingsException(
                    "data_directory " + settings.dataDirectory + ": " + e.getMessage());
        }
    }

    @Override
    public void run() throws IOException {
        controlNode.start();
        seedWatch.start();
        closeClientsThatDoNotRead();
        environment.logTraffic(Duration.ofSeconds(10));
        environment.loop.run(() -> {});
    }

    /** Closes clients that read nothing, and lets go of those that have read all. */
    private void closeClientsThatDoNotRead() {
        environment.loop.schedule(READING_CHECK_INTERVAL, this::closeClientsThatDoNotRead);
        unreadConfigurations.removeReadVersions();
        boolean closed = true;
        while (closed) {
            closed = environment.sockets.closeLongestNotReading(MAX_TIME_WITHOUT_READING);
        }
    }

    /** Hands over the duties and the place among the voters, then stops. */
    @Override
    public void shutDown() {
        environment.loop.execute(() -> {
            if (!shuttingDown) {
                shuttingDown = true;
                long timeoutNanos = settings.shutdownGraceNanos * HANDOVER_TENTHS / 10;
                controlNode.shutDown(
                        timeoutNanos, () -> environment.loop.schedule(Duration.ofMillis(50), environment.loop::stop));
            }
        });
    }

    @Override
    public void reloadSettings() {
        environment.loop.execute(seedWatch::reload);
    }

    // Messages of other processes.

    @Override
    public void handleMessage(String fromHost, Message message) throws MalformedMessage {
        if (controlNode != null) {
            controlNode.handleMessage(fromHost, message);
        }
    }

    @Override
    public void connectionLost(String host) {
        // Lost messages are repeated by their senders.
    }

    // The operators' API: a dispatch on method and path.

    @Override
    public void handleRequest(ServerConnection connection, Head head, byte[] body) {
        switch (head.method() + " " + head.path()) {
            case "POST /Configuration.Replace" ->
                controlNode.changeConfiguration(
                        false,
                        head.uniqueHeader("X-Saltdale-Based-On-Version"),
                        body,
                        reply -> sendReply(connection, reply));
            case "POST /Configuration.Amend" ->
                controlNode.changeConfiguration(
                        true,
                        head.uniqueHeader("X-Saltdale-Based-On-Version"),
                        body,
                        reply -> sendReply(connection, reply));
            case "GET /Configuration.Read" -> controlNode.readConfiguration(reply -> sendReply(connection, reply));
            case "GET /metrics" ->
                connection.respond(
                        200,
                        PLAIN_TEXT_HEADER,
                        environment.counters().toText()
                                + connectionMetrics()
                                + "configurations_unread_bytes " + unreadConfigurations.heldBytes() + '\n'
                                + "configurations_unread_closed " + unreadConfigurations.closedReaders() + '\n');
            case "GET /readiness" -> connection.respond(controlNode.hasMajority() ? 200 : 503, "", EMPTY_BODY);
            default -> connection.respond(404, "", "no such call");
        }
    }

    private void sendReply(ServerConnection connection, ControlNode.Reply reply) {
        if (reply.body() != null) {
            connection.respond(reply.status(), "Content-Type: application/json\r\n", reply.body());
            unreadConfigurations.sent(connection, reply.body());
        } else if (reply.status() == 200) {
            connection.respond(200, "", EMPTY_BODY);
        } else {
            environment.log("rejected a call: " + reply.status() + " " + reply.reason());
            connection.respond(reply.status(), reply.status() == 503 ? RETRY_AFTER_HEADER : "", reply.reason());
        }
    }

    @Override
    public void connectionClosed(ServerConnection connection) {
        unreadConfigurations.closed(connection);
    }

    @Override
    public boolean closesAfter(int status) {
        return shuttingDown;
    }

    @Override
    public HttpParser.Limits requestLimits() {
        return new HttpParser.Limits(HttpParser.MAX_HEAD_BYTES, ConfigurationCodec.MAX_TEXT_BYTES);
    }

    @Override
    public Duration requestTimeout() {
        return Duration.ofNanos(REQUEST_TIMEOUT_FACTOR * settings.acknowledgeTimeoutNanos);
    }
}
