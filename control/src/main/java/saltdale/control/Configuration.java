package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The operators' configuration, validated, as proxies use it: routes, services and limits. */
public final class Configuration {
    /**
     * Where requests go. {@code services} and {@code weights} hold the services of a split route and their weights, in
     * the same order; otherwise there is one service, of weight 1.
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

    /**
     * A service and the limits of its instances; {@code bootMs} and {@code memoryMb} are 0 unless the service
     * is a function.
     */
    public record Service(String name, int connectionLimit, int memoryMb, long bootMs, int maxConcurrency) {
        /** Whether the platform starts instances of this service on demand. */
        public boolean isFunction() {
            return memoryMb > 0;
        }
    }

    /** The limits on the size of clients' requests and on the time clients may take. */
    public record Limits(int headerBytes, int bodyBytes, long headerMs, long idleMs) {}

    private static final Limits DEFAULT_LIMITS = new Limits(16_384, 262_144, 3_000, 15_000);

    private final long revision;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Limits limits;

    /** Reads and validates a configuration, sent by an operator or by another process. */
    public Configuration(Fields fields) throws InvalidConfiguration {
        try {
            revision = fields.integer("revision");
            if (revision <= 0) {
                throw new InvalidConfiguration("revision must be above 0");
            }
            for (Fields item : fields.objects("services")) {
                Service service = service(item);
                if (services.put(service.name(), service) != null) {
                    throw new InvalidConfiguration("services: " + service.name() + " appears more than once");
                }
            }
            for (Fields item : fields.objects("routes")) {
                addRoute(route(item));
            }
            limits = fields.has("limits") ? limits(fields.object("limits")) : DEFAULT_LIMITS;
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration(e.getMessage());
        }
    }

    private static Service service(Fields fields) throws MalformedMessage, InvalidConfiguration {
        String name = fields.text("name");
        try {
            return new Service(
                    name,
                    (int) boundedInteger(fields, "connection_limit", 1, Integer.MAX_VALUE),
                    (int) boundedInteger(fields, "memory_mb", 0, 0),
                    boundedInteger(fields, "boot_ms", 0, 0),
                    (int) boundedInteger(fields, "max_concurrency", 1, 1));
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration("service " + name + ": " + e.getMessage());
        }
    }

    private Route route(Fields fields) throws MalformedMessage, InvalidConfiguration {
        String name = fields.text("name");
        try {
            String kind = fields.text("kind", "non_idempotent");
            if (!kind.equals("idempotent") && !kind.equals("non_idempotent")) {
                throw new MalformedMessage("kind must be idempotent or non_idempotent");
            }
            List<String> serviceNames = new ArrayList<>();
            List<Double> weights = new ArrayList<>();
            destinations(fields, serviceNames, weights);
            String prefix = fields.text("path_prefix");
            if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
                throw new MalformedMessage("path_prefix must begin and end with a slash");
            }
            return new Route(
                    name,
                    fields.text("hostname").toLowerCase(java.util.Locale.ROOT),
                    prefix,
                    kind.equals("idempotent"),
                    boundedInteger(fields, "timeout_ms", 1, -1),
                    boundedInteger(fields, "target_latency_ms", 0, 0),
                    (int) boundedInteger(fields, "priority", 0, 0),
                    (int) boundedInteger(fields, "max_attempts", 1, 1),
                    serviceNames,
                    weights);
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration("route " + name + ": " + e.getMessage());
        }
    }

    /** Reads the destination of a route: one service, or a list of items that each have a service and a weight. */
    private void destinations(Fields fields, List<String> serviceNames, List<Double> weights)
            throws MalformedMessage, InvalidConfiguration {
        if (fields.map().get("service") instanceof String single) {
            serviceNames.add(single);
            weights.add(1.0);
        } else {
            for (Map.Entry<String, Object> field : fields.map().entrySet()) {
                if (field.getValue() instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map<?, ?>) {
                    for (Fields item : fields.objects(field.getKey())) {
                        serviceNames.add(item.text("service"));
                        weights.add(item.number("weight"));
                    }
                }
            }
        }
        if (weights.stream().anyMatch(w -> !(w >= 0))
                || weights.stream().mapToDouble(w -> w).sum() <= 0) {
            throw new MalformedMessage("no service, a negative weight, or weights that sum to 0");
        }
        for (String service : serviceNames) {
            if (!services.containsKey(service)) {
                throw new MalformedMessage("unknown service: " + service);
            }
        }
    }

    private static Limits limits(Fields fields) throws MalformedMessage {
        return new Limits(
                (int) boundedInteger(fields, "header_size_bytes", 1, DEFAULT_LIMITS.headerBytes),
                (int) boundedInteger(fields, "body_size_bytes", 0, DEFAULT_LIMITS.bodyBytes),
                boundedInteger(fields, "header_timeout_ms", 1, DEFAULT_LIMITS.headerMs),
                boundedInteger(fields, "idle_timeout_ms", 1, DEFAULT_LIMITS.idleMs));
    }

    /** An integer field that must be at least {@code min} and fit into an {@code int}. */
    private static long boundedInteger(Fields fields, String name, long min, long defaultValue)
            throws MalformedMessage {
        long value = fields.integer(name, defaultValue);
        if (value < min || value > Integer.MAX_VALUE) {
            throw new MalformedMessage(name + " is out of range");
        }
        return value;
    }

    private void addRoute(Route route) throws InvalidConfiguration {
        Map<String, Route> routesOfHost = routesByHost.computeIfAbsent(route.hostname(), host -> new HashMap<>());
        if (routes.put(route.name(), route) != null) {
            throw new InvalidConfiguration("routes: " + route.name() + " appears more than once");
        } else if (routesOfHost.putIfAbsent(route.prefix(), route) != null) {
            throw new InvalidConfiguration(
                    "route " + route.name() + ": another route has the same hostname and path_prefix");
        }
    }

    /** The revision of this configuration, above 0. */
    public long revision() {
        return revision;
    }

    /** The limits on clients' requests. */
    public Limits limits() {
        return limits;
    }

    /** The services by name. */
    public Map<String, Service> services() {
        return services;
    }

    /** The routes by name. */
    public Map<String, Route> routes() {
        return routes;
    }

    /** The route with the longest matching prefix; {@code null} if there is none. */
    public Route route(String hostname, String path) {
        Map<String, Route> byPrefix = routesByHost.getOrDefault(hostname.toLowerCase(java.util.Locale.ROOT), Map.of());
        // Each prefix ends with a slash, so the prefixes of the path are tried from the longest on.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route found = byPrefix.get(path.substring(0, slash + 1));
            if (found != null) {
                return found;
            }
        }
        return null;
    }
}
