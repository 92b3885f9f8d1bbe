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

/** The configuration of one dispatcher process, from its environment variables and the file EDGE_CONFIG. */
final class ServeConfig {
    /** The resolution of timers, which is the shortest interval between rounds. */
    private static final Duration TIMER_RESOLUTION = Duration.ofMillis(1);

    final String name;
    final InetSocketAddress listenAddress;
    final InetSocketAddress discoveryAddress;
    final long seed;
    final int descriptorLimit;
    final DispatcherSettings settings;
    /** Alternative settings whose decisions are compared with those of {@link #settings}; null if there are none. */
    final DispatcherSettings preview;

    /** The idle time after which runners close a connection. */
    final Duration runnerIdleTimeout;
    /** The runner list as last known before the start; null if there was none. */
    final HostListUpdate initialRunnerList;

    private ServeConfig(Map<String, String> environment, JsonFields config, HostListUpdate initialRunnerList) {
        this.name = required(environment, "EDGE_NAME");
        this.listenAddress = parseAddress(environment, "EDGE_LISTEN");
        // The file can change after the start, the environment cannot, so an address in the file takes precedence.
        String discoveryFromFile = config.string("discovery", null);
        this.discoveryAddress = discoveryFromFile == null
                ? parseAddress(environment, "EDGE_DISCOVERY")
                : parseAddress(discoveryFromFile, "EDGE_CONFIG: discovery");
        String seedHex = config.string("seed", "");
        if (!seedHex.matches("[0-9a-fA-F]{1,16}")) {
            throw config.invalid("seed", "a hexadecimal number of 64 bits");
        }
        this.seed = Long.parseUnsignedLong(seedHex, 16);
        this.descriptorLimit = config.object("limits").integer("sockets", 1024);
        JsonFields settingsFields = config.object("settings");
        this.settings = SettingsReader.read(settingsFields);
        if (settings.workloads.isEmpty()) {
            throw settingsFields.invalid("Workloads", "a list of workloads");
        }
        JsonFields limits = settingsFields.object("Limits");
        if (settings.connectTimeout.isZero()) {
            throw limits.invalid("DialTimeout", "a duration over 0");
        }
        this.runnerIdleTimeout = settings.idleTimeout;
        settings.overload = config.has("overload") ? readOverload(config.object("overload")) : null;
        settings.roundInterval = Durations.max(settings.roundInterval, TIMER_RESOLUTION);
        this.preview = config.has("preview") ? readPreview(settingsFields, config.object("preview")) : null;
        this.initialRunnerList = initialRunnerList;
    }

    /** Reads the table with the overload settings, which may be empty; keys that are missing have default values. */
    private static OverloadSettings readOverload(JsonFields table) {
        OverloadSettings defaults = OverloadSettings.DEFAULTS;
        table.rejectUnknownKeys("low", "high", "borne", "missed", "step", "known");
        OverloadSettings overload = new OverloadSettings(
                table.numberAtLeast("low", defaults.lowWaitShare(), 0),
                table.numberAtLeast("high", defaults.highWaitShare(), 0),
                table.numberAtLeast("borne", defaults.slackShare(), 0),
                table.numberAtLeast("missed", defaults.tolerableMissShare(), 0),
                table.duration("step", defaults.minChangeInterval()),
                (int) table.numberAtLeast("known", defaults.minCompletions(), 1));
        if (overload.highWaitShare() <= overload.lowWaitShare()) {
            throw table.invalid("high", "over low");
        } else if (overload.slackShare() == 0 || overload.slackShare() > 1) {
            throw table.invalid("borne", "over 0 and at most 1");
        } else if (overload.minChangeInterval().compareTo(TIMER_RESOLUTION) < 0) {
            throw table.invalid("step", "a span in microseconds of at least 1000");
        }
        return overload;
    }

    private static DispatcherSettings readPreview(JsonFields settingsFields, JsonFields previewFields) {
        for (String key : new String[] {"Workloads", "Projects", "MachineTypes"}) {
            if (previewFields.has(key)) {
                throw previewFields.invalid(key, "allowed in a preview, which shares it with the settings");
            }
        }
        return SettingsReader.read(settingsFields.mergedWith(previewFields));
    }

    /** Reads the configuration; throws {@link MalformedInputException} if a value is missing or invalid. */
    static ServeConfig read(Map<String, String> environment) {
        String file = required(environment, "EDGE_CONFIG");
        ObjectMapper mapper = new ObjectMapper();
        JsonNode root;
        HostListUpdate initialRunnerList = null;
        try {
            root = mapper.readTree(Files.readAllBytes(Path.of(file)));
            if (root == null || !root.isObject()) {
                throw new MalformedInputException("EDGE_CONFIG is not a JSON object: " + file);
            }
            if (root.hasNonNull("known")) {
                initialRunnerList = HostListUpdate.parse(mapper.writeValueAsBytes(root.get("known")));
                if (initialRunnerList == null) {
                    throw new MalformedInputException("EDGE_CONFIG: known is not a runner list");
                }
            }
        } catch (JsonProcessingException e) {
            throw new MalformedInputException("EDGE_CONFIG is not valid JSON: " + file);
        } catch (IOException e) {
            throw new MalformedInputException("EDGE_CONFIG cannot be read: " + file);
        }
        return new ServeConfig(environment, new JsonFields("EDGE_CONFIG", root), initialRunnerList);
    }

    private static String required(Map<String, String> environment, String variable) {
        String value = environment.get(variable);
        if (value == null || value.isEmpty()) {
            throw new MalformedInputException(variable + " is not set");
        }
        return value;
    }

    private static InetSocketAddress parseAddress(Map<String, String> environment, String variable) {
        return parseAddress(required(environment, variable), variable);
    }

    private static InetSocketAddress parseAddress(String text, String name) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new MalformedInputException(name + " is not a numeric address and port");
        }
        return address;
    }
}
