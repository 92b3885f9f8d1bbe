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

/** What the settings file says; fields that are not known are skipped. Spans in nanoseconds. */
final class Settings {
    /** A setting that is missing or wrong: one line that names the file and the key. */
    static final class Wrong extends Exception {
        private static final long serialVersionUID = 1L;

        Wrong(String what) {
            super(what);
        }
    }

    private static final int MOST_TOLERATED = 1000;
    static final String VARIABLE = "SALTDALE_BOOT";

    final String name;
    final String host;
    final String zone;
    final String front; // null where the role does not serve it, as the next two
    final String readiness;
    final String control;
    final int port;
    final List<String> seeds; // hosts
    final boolean firstStart;
    final ToleratedLosses toleratedLosses;
    final int descriptors;
    final Path data; // null without a disk
    final long heartbeat;
    final long acknowledge;
    final long drain;
    final long configApply;
    final long grace;
    final double retryRatio;
    final long retryWindow;
    final double retrySlack;
    final String platform;
    final Platform.Rates rates;

    private final String path; // of the file

    private Settings(String path, Fields from) throws MalformedMessage {
        this.path = path;
        name = from.text("node_name");
        host = from.text("ip_address");
        zone = from.text("zone");
        Fields listen = from.object("listen_addresses");
        front = listen.text("front", null);
        readiness = listen.text("readiness", null);
        control = listen.text("control", null);
        List<Object> ports = from.list("internal_port_range");
        if (ports.isEmpty() || !(ports.get(0) instanceof Long first) || first < 1 || first > 65_535) {
            throw new MalformedMessage("internal_port_range holds no port");
        }
        port = first.intValue();
        seeds = new ArrayList<>();
        for (String seed : from.texts("seed_nodes")) {
            int colon = seed.lastIndexOf(':');
            if (colon < 1) {
                throw new MalformedMessage("seed_nodes: " + seed + " is no address");
            }
            seeds.add(seed.substring(0, colon));
        }
        firstStart = from.bool("first_start");
        Fields tolerated =
                from.has("tolerated_losses") ? from.object("tolerated_losses") : Fields.of(java.util.Map.of());
        toleratedLosses = new ToleratedLosses(
                tolerated(tolerated, "machines", 1),
                tolerated(tolerated, "zones", 0),
                tolerated(tolerated, "regions", 0));
        Fields limits = from.has("limits") ? from.object("limits") : Fields.of(java.util.Map.of());
        descriptors = (int) limits.integer("file_descriptors", 1024);
        data = from.has("data_directory") ? Path.of(from.text("data_directory")) : null;
        heartbeat = millis(from, "heartbeat_interval_ms", 1200);
        Fields bounds = from.has("bounds") ? from.object("bounds") : Fields.of(java.util.Map.of());
        acknowledge = millis(bounds, "acknowledge_ms", 5000);
        drain = millis(bounds, "drain_ms", 3000);
        configApply = millis(bounds, "config_apply_ms", 3000);
        grace = (long) (bounds.number("grace_s", 6) * 1e9);
        retryRatio = bounds.number("retry_budget_ratio", 0.2);
        retryWindow = (long) (bounds.number("retry_window_s", 10) * 1e9);
        retrySlack = bounds.number("retry_budget_slack", 10);
        Fields api = from.object("platform_api");
        platform = api.text("address");
        rates = new Platform.Rates(api.number("rate_per_s", 5), api.number("duty_per_s", 5), api.texts("duties"));
    }

    private static int tolerated(Fields from, String what, int otherwise) throws MalformedMessage {
        long count = from.integer(what, otherwise);
        if (count < 0 || count > MOST_TOLERATED) {
            throw new MalformedMessage("tolerated_losses." + what + " must be 0 to " + MOST_TOLERATED);
        }
        return (int) count;
    }

    private static long millis(Fields from, String name, double otherwise) throws MalformedMessage {
        double value = from.number(name, otherwise);
        if (!(value > 0)) {
            throw new MalformedMessage(name + " must be above 0");
        }
        return (long) (value * 1e6);
    }

    /** What the file says now. */
    Settings readAgain() throws Wrong {
        return read(path);
    }

    static Settings read(String path) throws Wrong {
        if (path == null) {
            throw new Wrong(VARIABLE + " is not set: it names the settings file");
        }
        try {
            return new Settings(path, new Fields(Trees.fromJson(Files.readAllBytes(Path.of(path)))));
        } catch (IOException e) {
            throw new Wrong(path + ": cannot be read: " + e.getMessage());
        } catch (MalformedMessage e) {
            throw new Wrong(path + ": " + e.getMessage());
        }
    }
}
