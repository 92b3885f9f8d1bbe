package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The operators' configuration as dispatchers use it: routes, services and limits, checked. */
public final class Configuration {
    /**
     * Where calls go; {@code shares} holds services and weights in turn where a route is split, else one of
     * weight 1.
     */
    public record Route(
            String name,
            String hostname,
            String prefix,
            boolean idempotent,
            long timeoutMs,
            long targetMs,
            int priority,
            int maxAttempts,
            List<String> services,
            List<Double> weights) {}

    /** What is known of a service's instances; {@code bootMs} and {@code memoryMb} are 0 where it is no function. */
    public record Service(String name, int connectionLimit, int memoryMb, long bootMs, int maxConcurrency) {
        public boolean isFunction() {
            return memoryMb > 0;
        }
    }

    /** What clients may send, and how long they may take. */
    public record Limits(int headerBytes, int bodyBytes, long headerMs, long idleMs) {}

    private static final Limits USUAL = new Limits(16_384, 262_144, 3_000, 15_000);

    private final long revision;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Limits limits;

    /** Reads and checks a configuration, as operators send it or as it is told between processes. */
    public Configuration(Fields from) throws InvalidConfiguration {
        try {
            revision = from.integer("revision");
            if (revision <= 0) {
                throw new InvalidConfiguration("revision must be above 0");
            }
            for (Fields each : from.objects("services")) {
                Service service = service(each);
                if (services.put(service.name(), service) != null) {
                    throw new InvalidConfiguration("services: " + service.name() + " stands twice");
                }
            }
            for (Fields each : from.objects("routes")) {
                add(route(each));
            }
            limits = from.has("limits") ? limits(from.object("limits")) : USUAL;
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration(e.getMessage());
        }
    }

    private static Service service(Fields from) throws MalformedMessage, InvalidConfiguration {
        String name = from.text("name");
        try {
            return new Service(
                    name,
                    (int) atLeast(from, "connection_limit", 1, Integer.MAX_VALUE),
                    (int) atLeast(from, "memory_mb", 0, 0),
                    atLeast(from, "boot_ms", 0, 0),
                    (int) atLeast(from, "max_concurrency", 1, 1));
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration("service " + name + ": " + e.getMessage());
        }
    }

    private Route route(Fields from) throws MalformedMessage, InvalidConfiguration {
        String name = from.text("name");
        try {
            String kind = from.text("kind", "non_idempotent");
            if (!kind.equals("idempotent") && !kind.equals("non_idempotent")) {
                throw new MalformedMessage("kind is neither idempotent nor non_idempotent");
            }
            List<String> to = new ArrayList<>();
            List<Double> weights = new ArrayList<>();
            destinations(from, to, weights);
            String prefix = from.text("path_prefix");
            if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
                throw new MalformedMessage("path_prefix must begin and end with a slash");
            }
            return new Route(
                    name,
                    from.text("hostname").toLowerCase(java.util.Locale.ROOT),
                    prefix,
                    kind.equals("idempotent"),
                    atLeast(from, "timeout_ms", 1, -1),
                    atLeast(from, "target_latency_ms", 0, 0),
                    (int) atLeast(from, "priority", 0, 0),
                    (int) atLeast(from, "max_attempts", 1, 1),
                    to,
                    weights);
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration("route " + name + ": " + e.getMessage());
        }
    }

    /** One service, or several with weights in a list whose items have a service and a weight. */
    private void destinations(Fields from, List<String> to, List<Double> weights)
            throws MalformedMessage, InvalidConfiguration {
        if (from.map().get("service") instanceof String one) {
            to.add(one);
            weights.add(1.0);
        } else {
            for (Map.Entry<String, Object> field : from.map().entrySet()) {
                if (field.getValue() instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map<?, ?>) {
                    for (Fields each : from.objects(field.getKey())) {
                        to.add(each.text("service"));
                        weights.add(each.number("weight"));
                    }
                }
            }
        }
        if (weights.stream().anyMatch(w -> !(w >= 0))
                || weights.stream().mapToDouble(w -> w).sum() <= 0) {
            throw new MalformedMessage("no service, or weights that sum to 0");
        }
        for (String service : to) {
            if (!services.containsKey(service)) {
                throw new MalformedMessage("no such service: " + service);
            }
        }
    }

    private static Limits limits(Fields from) throws MalformedMessage {
        return new Limits(
                (int) atLeast(from, "header_size_bytes", 1, USUAL.headerBytes),
                (int) atLeast(from, "body_size_bytes", 0, USUAL.bodyBytes),
                atLeast(from, "header_timeout_ms", 1, USUAL.headerMs),
                atLeast(from, "idle_timeout_ms", 1, USUAL.idleMs));
    }

    private static long atLeast(Fields from, String name, long least, long otherwise) throws MalformedMessage {
        long value = from.integer(name, otherwise);
        if (value < least || value > Integer.MAX_VALUE) {
            throw new MalformedMessage(name + " is out of its range");
        }
        return value;
    }

    private void add(Route route) throws InvalidConfiguration {
        Map<String, Route> same = byHost.computeIfAbsent(route.hostname(), host -> new HashMap<>());
        if (routes.put(route.name(), route) != null) {
            throw new InvalidConfiguration("routes: " + route.name() + " stands twice");
        } else if (same.putIfAbsent(route.prefix(), route) != null) {
            throw new InvalidConfiguration("route " + route.name() + ": another has the same hostname and path_prefix");
        }
    }

    public long revision() {
        return revision;
    }

    public Limits limits() {
        return limits;
    }

    public Map<String, Service> services() {
        return services;
    }

    public Map<String, Route> routes() {
        return routes;
    }

    /** The route of the longest prefix; null where none is meant. */
    public Route route(String hostname, String path) {
        Map<String, Route> byPrefix = byHost.getOrDefault(hostname.toLowerCase(java.util.Locale.ROOT), Map.of());
        // Each prefix ends with a slash: those of the path are tried from the longest on.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route found = byPrefix.get(path.substring(0, slash + 1));
            if (found != null) {
                return found;
            }
        }
        return null;
    }
}
