package saltdale.proxy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import saltdale.control.message.MessageCodec;
import saltdale.control.message.MessageKind;

/**
 * Measures how the traffic of control messages grows with the size of a simulated cluster, for docs/CAPACITY.md. This
 * is a program, not a test.
 */
final class ControlMessageSizes {
    private static final int MEASUREMENT_SECONDS = 10;

    private ControlMessageSizes() {}

    public static void main(String[] args) {
        System.out.println(
                "proxies functions | messages/bytes per second in total, by kind | bytes of one configuration change");
        for (int[] size : new int[][] {{10, 20}, {30, 20}, {90, 20}, {270, 20}, {30, 100}, {30, 300}, {30, 700}}) {
            measure(size[0], size[1]);
        }
    }

    private static void measure(int proxies, int functions) {
        SimWorld world = SimOperator.servingCluster(5, 3, proxies);
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (int i = 0; i < functions; i++) {
            routes.add(SimOperator.route("r-" + i, "/f" + i + "/", "idempotent", "fn" + i));
            services.add("{\"name\":\"fn" + i + "\",\"health_path\":null,\"connection_limit\":20,\"protocol\":\"h1\","
                    + "\"memory_mb\":16,\"boot_ms\":500,\"max_concurrency\":4}");
            world.platform.slots.put("fn" + i, 4);
            world.platform.memory.put("fn" + i, 16);
        }
        Map<MessageKind, long[]> sent = new EnumMap<>(MessageKind.class);
        world.messageObserver = message -> {
            long[] count = sent.computeIfAbsent(message.kind(), kind -> new long[2]);
            count[0]++;
            count[1] += MessageCodec.encode(message).length + 4;
        };
        SimOperator.replaceUntilAcknowledged(
                world,
                1,
                "{\"revision\":2,\"routes\":[" + String.join(",", routes) + "],\"services\":["
                        + String.join(",", services) + "]}",
                8000);
        world.run(1500);
        long configurationChangeBytes =
                sent.values().stream().mapToLong(c -> c[1]).sum();
        sent.clear();
        // One call per second at each proxy, independent of the number of proxies.
        SimOperator.load(
                world, proxies, MEASUREMENT_SECONDS * 1000, () -> "/f" + world.random.nextInt(functions) + "/1");
        world.run(MEASUREMENT_SECONDS * 1000);
        StringBuilder line = new StringBuilder(proxies + " " + functions + " |");
        long messages = 0;
        long bytes = 0;
        for (Map.Entry<MessageKind, long[]> kind : sent.entrySet()) {
            line.append(' ')
                    .append(kind.getKey())
                    .append(' ')
                    .append(kind.getValue()[0] / MEASUREMENT_SECONDS)
                    .append('/')
                    .append(kind.getValue()[1] / MEASUREMENT_SECONDS);
            messages += kind.getValue()[0];
            bytes += kind.getValue()[1];
        }
        System.out.println(line + " | all " + messages / MEASUREMENT_SECONDS + "/" + bytes / MEASUREMENT_SECONDS + " | "
                + configurationChangeBytes);
    }
}
