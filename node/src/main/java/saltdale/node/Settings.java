package saltdale.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import saltdale.control.Fields;
import saltdale.control.MalformedMessage;
import saltdale.control.Platform;
import saltdale.control.ToleratedLosses;
import saltdale.control.Trees;

/** The settings of a process, read from a JSON file. Unknown fields are ignored. */
final class Settings {
    /** A setting is missing or invalid; the message is a single line that names the file and the key. */
    static final class InvalidSettingsException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSettingsException(String message) {
            super(message);
        }
    }

    private static final int MAX_TOLERATED_LOSSES = 1000;
    /** The environment variable with the path of the settings file. */
    static final String PATH_VARIABLE = "SALTDALE_BOOT";

    final String name;
    final String host;
    final String zone;
    // Null if the role does not listen there, like the next two.
    final String frontAddress;
    final String readinessAddress;
    final String controlAddress;
    final int internalPort;
    final List<String> seedHosts;
    final boolean firstStart;
    final ToleratedLosses toleratedLosses;
    final int maxFileDescriptors;
    final Path dataDirectory; // null if nothing is stored on disk
    final long heartbeatNanos;
    final long acknowledgeTimeoutNanos;
    final long drainNanos;
    final long configApplyNanos;
    final long shutdownGraceNanos;
    final double retryBudgetRatio;
    final long retryBudgetWindowNanos;
    final double retryBudgetSlack;
    final String platformAddress;
    final Platform.Rates platformRates;

    private final String path; // of the settings file

    private Settings(String path, Fields source) throws MalformedMessage {
        this.path = path;
        name = source.text("node_name");
        host = source.text("ip_address");
        zone = source.text("zone");
        Fields listen = source.object("listen_addresses");
        frontAddress = listen.text("front", null);
        readinessAddress = listen.text("readiness", null);
        controlAddress = listen.text("control", null);
        List<Object> ports = source.list("internal_port_range");
        if (ports.isEmpty() || !(ports.get(0) instanceof Long first) || first < 1 || first > 65_535) {
            throw new MalformedMessage("internal_port_range has no valid port");
        }
        internalPort = first.intValue();
        seedHosts = new ArrayList<>();
        for (String seed : source.texts("seed_nodes")) {
            int colon = seed.lastIndexOf(':');
            if (colon < 1) {
                throw new MalformedMessage("seed_nodes: " + seed + " is not an address with a port");
            }
            seedHosts.add(seed.substring(0, colon));
        }
        firstStart = source.bool("first_start");
        Fields tolerated =
                source.has("tolerated_losses") ? source.object("tolerated_losses") : Fields.of(java.util.Map.of());
        toleratedLosses = new ToleratedLosses(
                toleratedLosses(tolerated, "machines", 1),
                toleratedLosses(tolerated, "zones", 0),
                toleratedLosses(tolerated, "regions", 0));
        Fields limits = source.has("limits") ? source.object("limits") : Fields.of(java.util.Map.of());
        maxFileDescriptors = (int) limits.integer("file_descriptors", 1024);
        dataDirectory = source.has("data_directory") ? Path.of(source.text("data_directory")) : null;
        heartbeatNanos = millisAsNanos(source, "heartbeat_interval_ms", 1200);
        Fields bounds = source.has("bounds") ? source.object("bounds") : Fields.of(java.util.Map.of());
        acknowledgeTimeoutNanos = millisAsNanos(bounds, "acknowledge_ms", 5000);
        drainNanos = millisAsNanos(bounds, "drain_ms", 3000);
        configApplyNanos = millisAsNanos(bounds, "config_apply_ms", 3000);
        shutdownGraceNanos = (long) (bounds.number("grace_s", 6) * 1e9);
        retryBudgetRatio = bounds.number("retry_budget_ratio", 0.2);
        retryBudgetWindowNanos = (long) (bounds.number("retry_window_s", 10) * 1e9);
        retryBudgetSlack = bounds.number("retry_budget_slack", 10);
        Fields api = source.object("platform_api");
        platformAddress = api.text("address");
        platformRates =
                new Platform.Rates(api.number("rate_per_s", 5), api.number("duty_per_s", 5), api.texts("duties"));
    }

    private static int toleratedLosses(Fields source, String unit, int defaultValue) throws MalformedMessage {
        long count = source.integer(unit, defaultValue);
        if (count < 0 || count > MAX_TOLERATED_LOSSES) {
            throw new MalformedMessage("tolerated_losses." + unit + " must be 0 to " + MAX_TOLERATED_LOSSES);
        }
        return (int) count;
    }

    private static long millisAsNanos(Fields source, String name, double defaultValue) throws MalformedMessage {
        double value = source.number(name, defaultValue);
        if (!(value > 0)) {
            throw new MalformedMessage(name + " must be greater than 0");
        }
        return (long) (value * 1e6);
    }

    /** Reads the file again; the result is a new object. */
    Settings reload() throws InvalidSettingsException {
        return read(path);
    }

    /** Reads a settings file; {@code path} is null if the environment variable is not set. */
    static Settings read(String path) throws InvalidSettingsException {
        if (path == null) {
            throw new InvalidSettingsException(PATH_VARIABLE + " is not set; it must name the settings file");
        }
        try {
            return new Settings(path, new Fields(Trees.fromJson(Files.readAllBytes(Path.of(path)))));
        } catch (IOException e) {
            throw new InvalidSettingsException(path + ": cannot be read: " + e.getMessage());
        } catch (MalformedMessage e) {
            throw new InvalidSettingsException(path + ": " + e.getMessage());
        }
    }
}
