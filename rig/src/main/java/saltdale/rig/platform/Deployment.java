package saltdale.rig.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: machines are at 127.net.zone.number, runners at
 * 127.(net + 1).zone.number.
 *
 * @param net the second octet of the machines' addresses, so that several deployments can run side by side
 * @param listLag the delay with which changes appear in the platform's lists
 * @param ratePerS the number of list calls that the platform accepts in any second
 * @param dutyPerS the number of starts and stops that the platform accepts in any second
 */
public record Deployment(
        int net,
        List<Machine> machines,
        List<Worker> workers,
        List<Service> services,
        List<Route> routes,
        Bounds bounds,
        Duration listLag,
        double ratePerS,
        double dutyPerS) {
    public static final List<String> ZONES = List.of("north", "south", "west");
    private static final int MAX_MACHINES_PER_ZONE = 80;
    private static final String REGION = "harbour";
    private static final int RARE_SERVICES = 6;

    /** A worker machine in its initial state. */
    public record Worker(String name, String zone, int memoryMb) {}

    /**
     * Returns a deployment of three zones with one worker each, and of eight services: a busy one for non-idempotent
     * requests, a busy one for idempotent requests, and six that are called rarely.
     */
    public static Deployment small(int net, int proxies, int controlNodes) {
        if (net < 1
                || net > 254
                || proxies < 1
                || controlNodes < 1
                || Math.max(proxies, controlNodes) > 3 * MAX_MACHINES_PER_ZONE) {
            throw new IllegalArgumentException("unsupported deployment: net " + net + ", " + proxies + " proxies, "
                    + controlNodes + " control nodes");
        }
        List<Machine> machines = new ArrayList<>();
        addMachines(machines, net, "proxy", "frontend", proxies, 1);
        addMachines(machines, net, "control", "core", controlNodes, 101);
        List<Worker> workers = new ArrayList<>();
        ZONES.forEach(zone -> workers.add(new Worker("w-" + zone, zone, 4096)));
        List<Service> services = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        services.add(new Service("desk-1", 512, Duration.ofMillis(700), 4, Duration.ofMillis(90)));
        services.add(new Service("desk-2", 512, Duration.ofMillis(700), 4, Duration.ofMillis(60)));
        routes.add(new Route(
                "r-desk-1",
                "lofi.example",
                "/desk/swap/",
                false,
                "desk-1",
                Duration.ofMillis(500),
                Duration.ofMillis(2500),
                3));
        routes.add(new Route(
                "r-desk-2",
                "lofi.example",
                "/desk/",
                true,
                "desk-2",
                Duration.ofMillis(400),
                Duration.ofMillis(2500),
                6));
        for (int i = 1; i <= RARE_SERVICES; i++) {
            services.add(new Service("press-" + i, 128, Duration.ofMillis(500), 1, Duration.ofMillis(60)));
            routes.add(new Route(
                    "r-press-" + i,
                    "dami.example",
                    "/press" + i + "/",
                    true,
                    "press-" + i,
                    Duration.ofMillis(1000),
                    Duration.ofMillis(5000),
                    2.0 / i));
        }
        routes.add(new Route(
                "r-unused",
                "dami.example",
                "/unused/",
                true,
                "press-1",
                Duration.ofMillis(1000),
                Duration.ofMillis(5000),
                0));
        return new Deployment(
                net,
                List.copyOf(machines),
                List.copyOf(workers),
                List.copyOf(services),
                List.copyOf(routes),
                Bounds.DEFAULTS,
                Duration.ofMillis(800),
                26,
                105);
    }

    private static void addMachines(
            List<Machine> machines, int net, String role, String kind, int count, int firstHostNumber) {
        for (int i = 0; i < count; i++) {
            int zone = i % ZONES.size();
            int number = i / ZONES.size();
            machines.add(new Machine(
                    kind + "-" + ZONES.get(zone) + "-" + (number + 1),
                    role,
                    ZONES.get(zone),
                    "127." + net + "." + (zone + 1) + "." + (firstHostNumber + number)));
        }
    }

    public List<Machine> proxies() {
        return machines.stream().filter(Machine::isProxy).toList();
    }

    public List<Machine> controlNodes() {
        return machines.stream().filter(machine -> !machine.isProxy()).toList();
    }

    /** The address of the platform's API. */
    public String platformAddress() {
        return "127." + net + ".250.1:8240";
    }

    /** The address of the runner with this number in a zone. */
    String runnerAddress(String zone, int number) {
        return "127." + (net + 1) + "." + (ZONES.indexOf(zone) + 1) + "." + number + ":8080";
    }

    /**
     * The routes after the operator's amendment: one is added, one is moved to another service, and the unused
     * one is removed.
     */
    public List<Route> amendedRoutes() {
        Route movedRoute = movedRoute();
        return Stream.concat(
                        routes.stream()
                                .filter(route -> route.share() > 0)
                                .map(route -> route.name().equals(movedRoute.name()) ? movedRoute : route),
                        Stream.of(addedRoute()))
                .toList();
    }

    private static Route addedRoute() {
        return new Route(
                "r-added",
                "dami.example",
                "/added/",
                true,
                "press-1",
                Duration.ofMillis(1000),
                Duration.ofMillis(5000),
                2);
    }

    private Route movedRoute() {
        return routes.get(routes.size() - 2).to("press-2");
    }

    /** The body of the first Configuration.Replace. */
    public ObjectNode replacement(int revision) {
        return configuration(revision, routes);
    }

    /** The whole configuration with these routes. */
    public ObjectNode configuration(int revision, List<Route> configuredRoutes) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("revision", revision);
        ArrayNode list = root.putArray("routes");
        configuredRoutes.forEach(route -> list.add(route.json()));
        ArrayNode functions = root.putArray("services");
        services.forEach(service -> functions.add(service.json()));
        root.putObject("limits")
                .put("header_size_bytes", 16384)
                .put("body_size_bytes", 262144)
                .put("header_timeout_ms", 3000)
                .put("idle_timeout_ms", 15000);
        return root;
    }

    /** The body of the Configuration.Amend that leads to {@link #amendedRoutes}. */
    public ObjectNode amendment(int revision) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("revision", revision);
        root.putObject("set_items")
                .putArray("routes")
                .add(addedRoute().json())
                .add(movedRoute().json());
        root.putObject("remove_names").putArray("routes").add("r-unused");
        return root;
    }

    /**
     * The settings file of a node.
     *
     * @param data the node's data directory; null for a node without a disk
     */
    public ObjectNode settings(Machine machine, boolean firstStart, String data) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("node_name", machine.name())
                .put("role", machine.role())
                .put("machine_class", machine.isProxy() ? "frontend" : "core");
        root.putArray("serves").add(machine.isProxy() ? "frontend" : "control_plane");
        root.put("ip_address", machine.ip()).put("zone", machine.zone()).put("region", REGION);
        ObjectNode zones = root.putObject("zones");
        ZONES.forEach(zone -> zones.put(zone, REGION));
        ObjectNode listen = root.putObject("listen_addresses");
        if (machine.isProxy()) {
            listen.put("front", machine.at(Machine.FRONT_PORT)).put("readiness", machine.at(Machine.READINESS_PORT));
        } else {
            listen.put("control", machine.at(Machine.CONTROL_PORT));
        }
        root.putArray("internal_port_range").add(7400).add(7415);
        ArrayNode seeds = root.putArray("seed_nodes");
        controlNodes().stream().limit(3).forEach(controlNode -> seeds.add(controlNode.at(Machine.CONTROL_PORT)));
        root.put("first_start", firstStart).put("loss_counted", !machine.isProxy());
        root.putObject("limits")
                .put("cpu_share", machine.isProxy() ? 0.75 : 1.8)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("file_descriptors", 4096)
                .put("link_speed_mbps", 1000.0)
                .put("disk_mb", machine.isProxy() ? 0 : 128);
        root.put("data_directory", data)
                .put("discovery_source", "platform")
                .put("entry_point", "virtual_address")
                .put("heartbeat_interval_ms", 1200);
        ArrayNode contracts = root.putArray("contracts");
        List.of("base", "drain", "config", "cost", "retry", "recover", "functions")
                .forEach(contracts::add);
        root.putObject("tolerated_losses")
                .put("machines", (controlNodes().size() - 1) / 2)
                .put("zones", 0)
                .put("regions", 0);
        root.set("bounds", bounds.json());
        ObjectNode api =
                root.putObject("platform_api").put("address", platformAddress()).put("rate_per_s", ratePerS);
        api.putArray("duties").add("starting");
        api.put("lag_ms", listLag.toMillis()).put("duty_per_s", dutyPerS);
        return root;
    }
}
