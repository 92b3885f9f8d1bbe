package saltdale.program;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import saltdale.model.Relief;
import saltdale.model.Spans;
import saltdale.model.StandingOrders;
import saltdale.orders.Fields;
import saltdale.orders.MalformedInput;
import saltdale.orders.OrdersReader;
import saltdale.protocol.HostListUpdate;
import saltdale.transport.Address;

/** Where a dispatcher is posted, and what it is told there: from its environment and EDGE_CONFIG. */
final class Posting {
    /** How closely timers keep their time: rounds of events lie no closer. */
    private static final Duration TIMERS = Duration.ofMillis(1);

    final String name;
    final InetSocketAddress listen;
    final InetSocketAddress discovery;
    final long seed;
    final int sockets;
    final StandingOrders orders;
    /** The settings of another shape, to be watched beside these; null where there are none. */
    final StandingOrders preview;

    final Duration idleClose;
    /** Null where no list was known. */
    final HostListUpdate known;

    private Posting(Map<String, String> environment, Fields config, HostListUpdate known) {
        this.name = required(environment, "EDGE_NAME");
        this.listen = address(environment, "EDGE_LISTEN");
        // The file may have been replaced since the start, the environment can't be.
        String moved = config.text("discovery", null);
        this.discovery =
                moved == null ? address(environment, "EDGE_DISCOVERY") : address(moved, "EDGE_CONFIG: discovery");
        String bits = config.text("seed", "");
        if (!bits.matches("[0-9a-fA-F]{1,16}")) {
            throw config.wrong("seed", "a hexadecimal number of 64 bits");
        }
        this.seed = Long.parseUnsignedLong(bits, 16);
        this.sockets = config.object("limits").whole("sockets", 1024);
        Fields settings = config.object("settings");
        this.orders = OrdersReader.read(settings);
        if (orders.workloads.isEmpty()) {
            throw settings.wrong("Workloads", "a list of workloads");
        }
        Fields limits = settings.object("Limits");
        if (orders.connectTime.isZero()) {
            throw limits.wrong("DialTimeout", "a span over 0");
        }
        this.idleClose = orders.idleClose;
        orders.relief = config.has("overload") ? relief(config.object("overload")) : null;
        orders.round = Spans.most(orders.round, TIMERS);
        this.preview = config.has("preview") ? preview(settings, config.object("preview")) : null;
        this.known = known;
    }

    /** How an overload is met, where the file has a table for it, be it an empty one. */
    private static Relief relief(Fields table) {
        Relief usual = Relief.USUAL;
        table.only("low", "high", "borne", "missed", "step", "known");
        Relief relief = new Relief(
                table.least("low", usual.low(), 0),
                table.least("high", usual.high(), 0),
                table.least("borne", usual.borne(), 0),
                table.least("missed", usual.missed(), 0),
                table.span("step", usual.step()),
                (int) table.least("known", usual.known(), 1));
        if (relief.high() <= relief.low()) {
            throw table.wrong("high", "over low");
        } else if (relief.borne() == 0 || relief.borne() > 1) {
            throw table.wrong("borne", "over 0 and at most 1");
        } else if (relief.step().compareTo(TIMERS) < 0) {
            throw table.wrong("step", "a span in microseconds of at least 1000");
        }
        return relief;
    }

    private static StandingOrders preview(Fields settings, Fields preview) {
        for (String key : new String[] {"Workloads", "Projects", "MachineTypes"}) {
            if (preview.has(key)) {
                throw preview.wrong(key, "to be set here: it is the same in both");
            }
        }
        return OrdersReader.read(settings.with(preview));
    }

    static Posting read(Map<String, String> environment) {
        String file = required(environment, "EDGE_CONFIG");
        ObjectMapper mapper = new ObjectMapper();
        JsonNode root;
        HostListUpdate known = null;
        try {
            root = mapper.readTree(Files.readAllBytes(Path.of(file)));
            if (root == null || !root.isObject()) {
                throw new MalformedInput("EDGE_CONFIG is no JSON object: " + file);
            }
            if (root.hasNonNull("known")) {
                known = HostListUpdate.parse(mapper.writeValueAsBytes(root.get("known")));
                if (known == null) {
                    throw new MalformedInput("EDGE_CONFIG: known is not a list of runners");
                }
            }
        } catch (JsonProcessingException e) {
            throw new MalformedInput("EDGE_CONFIG is no JSON: " + file);
        } catch (IOException e) {
            throw new MalformedInput("EDGE_CONFIG can't be read: " + file);
        }
        return new Posting(environment, new Fields("EDGE_CONFIG", root), known);
    }

    private static String required(Map<String, String> environment, String variable) {
        String value = environment.get(variable);
        if (value == null || value.isEmpty()) {
            throw new MalformedInput(variable + " is not set");
        }
        return value;
    }

    private static InetSocketAddress address(Map<String, String> environment, String variable) {
        return address(required(environment, variable), variable);
    }

    private static InetSocketAddress address(String text, String name) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new MalformedInput(name + " is not a numeric address and port");
        }
        return address;
    }
}
