package saltdale.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import saltdale.control.ControlNode;

/** The requests of operators and clients to a simulated cluster. */
final class SimOperator {
    private SimOperator() {}

    /** A configuration of this revision: one function, two routes to it, and {@code further} more routes. */
    static String config(long revision, int further) {
        List<String> routes = new ArrayList<>(
                List.of(route("r-0", "/a/", "idempotent", "fn"), route("r-1", "/b/", "non_idempotent", "fn")));
        for (int i = 0; i < further; i++) {
            routes.add(route("r-x" + i, "/x" + i + "/", "idempotent", "fn"));
        }
        return "{\"revision\":" + revision + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + "{\"name\":\"fn\",\"health_path\":null,\"connection_limit\":20,\"protocol\":\"h1\",\"memory_mb\":128,"
                + "\"boot_ms\":500,\"max_concurrency\":4}]}";
    }

    static String config(long revision) {
        return config(revision, 0);
    }

    static String route(String name, String prefix, String kind, String service) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind
                + "\",\"timeout_ms\":5000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":3}";
    }

    static void replace(SimMachine at, long base, String body, Consumer<ControlNode.Reply> onReply) {
        at.process.deliver(() -> at.controlNode()
                .changeConfiguration(false, Long.toString(base), body.getBytes(StandardCharsets.UTF_8), onReply));
    }

    /** Returns the status of the reply, or 0 if none comes within five seconds. */
    static int replace(SimWorld world, SimMachine at, long base, String body) {
        return change(world, at, false, Long.toString(base), body);
    }

    static int change(SimWorld world, SimMachine at, boolean amends, String base, String body) {
        List<ControlNode.Reply> replies = new ArrayList<>();
        at.process.deliver(() -> at.controlNode()
                .changeConfiguration(amends, base, body.getBytes(StandardCharsets.UTF_8), replies::add));
        return world.runUntil(5000, () -> !replies.isEmpty()) ? replies.get(0).status() : 0;
    }

    /** Sends the change to all control nodes in turn until one acknowledges it. Returns whether one did in time. */
    static boolean replaceUntilAcknowledged(SimWorld world, long base, String body, long ms) {
        long end = world.now() + ms * 1_000_000;
        while (world.now() < end) {
            for (SimMachine each : world.controlNodes) {
                if (each.process != null && replace(world, each, base, body) == 200) {
                    return true;
                }
            }
            world.run(100);
        }
        return false;
    }

    /** Starts a cluster with two workers in each zone, whose proxies have the first configuration. */
    static SimWorld servingCluster(long seed, int controlNodes, int proxies) {
        return servingCluster(new SimWorld(seed), controlNodes, proxies);
    }

    static SimWorld servingCluster(SimWorld world, int controlNodes, int proxies) {
        for (int i = 0; i < 6; i++) {
            world.platform.addWorker("w-" + i, SimWorld.ZONES[i % 3], 4096);
        }
        world.platform.slots.put("fn", 4);
        world.platform.memory.put("fn", 128);
        world.withNodes(controlNodes, proxies).startAll().run(2500);
        assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
        assertTrue(world.runUntil(
                3000, () -> world.proxies.stream().allMatch(p -> p.proxy().isReady())));
        return world;
    }

    /** Schedules this many calls per second for a while, each to a random ready proxy, and returns at once. */
    static void load(SimWorld world, double perSecond, long ms) {
        load(world, perSecond, ms, () -> world.random.nextBoolean() ? "/a/1" : "/b/1");
    }

    static void load(SimWorld world, double perSecond, long ms, Supplier<String> path) {
        long end = world.now() + ms * 1_000_000;
        world.schedule((long) (-Math.log(1 - world.random.nextDouble()) / perSecond * 1e9), () -> {
            List<SimMachine> ready = world.proxies.stream()
                    .filter(p -> p.proxy() != null && p.proxy().isReady())
                    .toList();
            if (!ready.isEmpty()) {
                world.platform.call(ready.get(world.random.nextInt(ready.size())), "h.example", path.get(), 3000);
            }
            if (world.now() < end) {
                load(world, perSecond, (end - world.now()) / 1_000_000, path);
            }
        });
    }

    /** Returns the configuration as this control node reads it from a majority, or null if it cannot. */
    static String read(SimWorld world, SimMachine at) {
        List<ControlNode.Reply> replies = new ArrayList<>();
        at.process.deliver(() -> at.controlNode().readConfiguration(replies::add));
        boolean replied =
                world.runUntil(5000, () -> !replies.isEmpty()) && replies.get(0).status() == 200;
        return replied ? new String(replies.get(0).body(), StandardCharsets.UTF_8) : null;
    }
}
