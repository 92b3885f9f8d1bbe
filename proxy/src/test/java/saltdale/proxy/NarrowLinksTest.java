package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.insists;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.control.message.MessageKind;
import saltdale.control.message.SessionMessage.LeaseRenewal;

/** Large configurations, and many proxies whose links are narrow: what is told must fit through them. */
class NarrowLinksTest {
    private static final long SPEED = 2_000_000; // bits a second of a proxy's link
    private static final int ROUTES = 721;
    private static final long LEAD_MS = 19_000; // from the start of the machines to that of the traffic
    private static final long APPLY_MS = 4000; // from the acknowledgement of a change until it is in force everywhere

    /** What went over the links, by kind of message, and the sessions of each proxy. */
    private static final class Traffic {
        final Map<MessageKind, Long> bytes = new HashMap<>();
        final Map<String, Set<String>> sessions = new HashMap<>(); // by host

        Traffic(SimWorld world) {
            world.spy = message -> {
                if (message instanceof LeaseRenewal renewal) {
                    sessions.computeIfAbsent(renewal.member().host(), host -> new HashSet<>())
                            .add(renewal.session());
                }
            };
            var whole = world.wireBytes;
            world.wireBytes = (message, encoded) -> {
                long onWire = whole.applyAsLong(message, encoded);
                bytes.merge(message.kind(), onWire, Long::sum);
                return onWire;
            };
        }

        int sessionCount() {
            return sessions.values().stream().mapToInt(Set::size).sum();
        }
    }

    private static String configuration(long revision) {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int i = 0; i < ROUTES; i++) {
            String name = "digest-press-" + Integer.toString(i * 7919 + 46_656, 36);
            routes.append(i == 0 ? "" : ",")
                    .append(SimOperator.route("r-" + name, "/" + name + "/", "idempotent", name));
            services.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"" + name + "\",\"health_path\":null,\"connection_limit\":77,"
                            + "\"protocol\":\"h1\",\"memory_mb\":128,\"boot_ms\":900,\"max_concurrency\":1}");
        }
        return "{\"revision\":" + revision + ",\"routes\":[" + routes + "],\"services\":[" + services + "]}";
    }

    private static SimWorld world(long seed, int proxies) {
        SimWorld world = new SimWorld(seed).of(5, proxies);
        world.proxies.forEach(proxy -> world.linkSpeeds.put(proxy.host, SPEED));
        return world;
    }

    private static long ready(SimWorld world) {
        return world.proxies.stream().filter(p -> p.proxy().isReady()).count();
    }

    @ParameterizedTest
    @ValueSource(ints = {61, 89})
    void allAreReadyBeforeTheTrafficStarts(int proxies) {
        SimWorld world = world(proxies, proxies);
        Traffic traffic = new Traffic(world);
        long begun = world.now();
        world.begin().run(4000);
        assertTrue(insists(world, 0, configuration(1), 5000));
        boolean in = world.until(LEAD_MS - (world.now() - begun) / 1_000_000, () -> ready(world) == proxies);
        System.out.println(proxies + ": ready " + ready(world) + " after " + (world.now() - begun) / 1_000_000
                + " ms, sessions " + traffic.sessionCount() + ", bytes " + traffic.bytes);
        assertThat(in, is(true));
        assertThat(world.faults, is(empty()));
    }
}
