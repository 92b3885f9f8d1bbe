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
import saltdale.model.DispatcherSettings;
import saltdale.model.Durations;
import saltdale.model.OverloadSettings;
import saltdale.protocol.HostListUpdate;
import saltdale.settings.JsonFields;
import saltdale.settings.MalformedInputException;
import saltdale.settings.SettingsReader;
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
    final DispatcherSettings orders;
    /** The settings of another shape, to be watched beside these; null where there are none. */
    final DispatcherSettings preview;

    final Duration idleClose;
    /** Null where no list was known. */
    final HostListUpdate known;

    private Posting(Map<String, String> environment, JsonFields config, HostListUpdate known) {
        this.name = required(environment, "EDGE_NAME");
        this.listen = address(environment, "EDGE_LISTEN");
        // The file may have been replaced since the start, the environment can't be.
        String moved = config.string("discovery", null);
        this.discovery =
                moved == null ? address(environment, "EDGE_DISCOVERY") : address(moved, "EDGE_CONFIG: discovery");
        String bits = config.string("seed", "");
        if (!bits.matches("[0-9a-fA-F]{1,16}")) {
            throw config.invalid("seed", "a hexadecimal number of 64 bits");
        }
        this.seed = Long.parseUnsignedLong(bits, 16);
        this.sockets = config.object("limits").integer("sockets", 1024);
        JsonFields settings = config.object("settings");
        this.orders = SettingsReader.read(settings);
        if (orders.workloads.isEmpty()) {
            throw settings.invalid("Workloads", "a list of workloads");
        }
        JsonFields limits = settings.object("Limits");
        if (orders.connectTimeout.isZero()) {
            throw limits.invalid("DialTimeout", "a span over 0");
        }
        this.idleClose = orders.idleTimeout;
        orders.overload = config.has("overload") ? relief(config.object("overload")) : null;
        orders.roundInterval = Durations.max(orders.roundInterval, TIMERS);
        this.preview = config.has("preview") ? preview(settings, config.object("preview")) : null;
        this.known = known;
    }

    /** How an overload is met, where the file has a table for it, be it an empty one. */
    private static OverloadSettings relief(JsonFields table) {
        OverloadSettings usual = OverloadSettings.DEFAULTS;
        table.rejectUnknownKeys("low", "high", "borne", "missed", "step", "known");
        OverloadSettings relief = new OverloadSettings(
                table.numberAtLeast("low", usual.lowWaitShare(), 0),
                table.numberAtLeast("high", usual.highWaitShare(), 0),
                table.numberAtLeast("borne", usual.slackShare(), 0),
                table.numberAtLeast("missed", usual.tolerableMissShare(), 0),
                table.duration("step", usual.minChangeInterval()),
                (int) table.numberAtLeast("known", usual.minCompletions(), 1));
        if (relief.highWaitShare() <= relief.lowWaitShare()) {
            throw table.invalid("high", "over low");
        } else if (relief.slackShare() == 0 || relief.slackShare() > 1) {
            throw table.invalid("borne", "over 0 and at most 1");
        } else if (relief.minChangeInterval().compareTo(TIMERS) < 0) {
            throw table.invalid("step", "a span in microseconds of at least 1000");
        }
        return relief;
    }

    private static DispatcherSettings preview(JsonFields settings, JsonFields preview) {
        for (String key : new String[] {"Workloads", "Projects", "MachineTypes"}) {
            if (preview.has(key)) {
                throw preview.invalid(key, "to be set here: it is the same in both");
            }
        }
        return SettingsReader.read(settings.mergedWith(preview));
    }

    static Posting read(Map<String, String> environment) {
        String file = required(environment, "EDGE_CONFIG");
        ObjectMapper mapper = new ObjectMapper();
        JsonNode root;
        HostListUpdate known = null;
        try {
            root = mapper.readTree(Files.readAllBytes(Path.of(file)));
            if (root == null || !root.isObject()) {
                throw new MalformedInputException("EDGE_CONFIG is no JSON object: " + file);
            }
            if (root.hasNonNull("known")) {
                known = HostListUpdate.parse(mapper.writeValueAsBytes(root.get("known")));
                if (known == null) {
                    throw new MalformedInputException("EDGE_CONFIG: known is not a list of runners");
                }
            }
        } catch (JsonProcessingException e) {
            throw new MalformedInputException("EDGE_CONFIG is no JSON: " + file);
        } catch (IOException e) {
            throw new MalformedInputException("EDGE_CONFIG can't be read: " + file);
        }
        return new Posting(environment, new JsonFields("EDGE_CONFIG", root), known);
    }

    private static String required(Map<String, String> environment, String variable) {
        String value = environment.get(variable);
        if (value == null || value.isEmpty()) {
            throw new MalformedInputException(variable + " is not set");
        }
        return value;
    }

    private static InetSocketAddress address(Map<String, String> environment, String variable) {
        return address(required(environment, variable), variable);
    }

    private static InetSocketAddress address(String text, String name) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new MalformedInputException(name + " is not a numeric address and port");
        }
        return address;
    }
}
