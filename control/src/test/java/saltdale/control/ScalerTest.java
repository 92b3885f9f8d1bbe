package saltdale.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScalerTest {
    private static final int SERVICES = 700;
    private static final int PENDING_STARTS = 1500;
    private static final int PLANS = 200;

    private final InstanceTable instances = new InstanceTable(1, 1);
    private final PendingStarts pendingStarts = new PendingStarts();
    private final Map<String, List<Demand>> demands = new HashMap<>();

    private static Configuration configuration(int services) throws Exception {
        return configuration(services, 500, "");
    }

    private static Configuration configuration(int services, int bootMs, String routes) throws Exception {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            texts.add("{\"name\":\"s" + i + "\",\"health_path\":null,\"connection_limit\":9,\"protocol\":\"h1\","
                    + "\"memory_mb\":128,\"boot_ms\":" + bootMs + ",\"max_concurrency\":1}");
        }
        String text = "{\"revision\":1,\"routes\":[" + routes + "],\"services\":[" + String.join(",", texts) + "]}";
        return new Configuration(new Fields(Trees.fromJson(text.getBytes(StandardCharsets.UTF_8))));
    }

    private void addWaitingRequests(String service, String zone, int requests) {
        demands.put(service, List.of(new Demand(service, zone, 0, 0, 0, requests, 0)));
    }

    private List<String> plannedStarts(Scaler scaler, Configuration configuration, List<Worker> workers) {
        return scaler.plan(0, configuration, demands, instances, workers, pendingStarts).starts().stream()
                .map(start -> start.service() + " on " + start.worker())
                .toList();
    }

    @Test
    void spreadsInstancesOfAServiceOverTheWorkersOfTheZone() throws Exception {
        List<Worker> workers = List.of(
                new Worker("a1", "a", true, 900, 900),
                new Worker("a2", "a", true, 900, 600),
                new Worker("b1", "b", true, 900, 900));
        addWaitingRequests("s0", "a", 2);
        pendingStarts.add("s0", "b", "b1"); // a pending start in another zone does not count here
        assertThat(
                plannedStarts(new Scaler(0, 0, Runnable::run), configuration(2), workers),
                containsInAnyOrder("s0 on a1", "s0 on a2"));
        pendingStarts.add("s0", "a", "a1");
        pendingStarts.add("s0", "a", "a2");
        assertThat(plannedStarts(new Scaler(0, 0, Runnable::run), configuration(2), workers), is(empty()));
    }

    /**
     * Guards against a plan that scans all pending starts for each service. Its cost shows with many pending starts and
     * without room for new instances.
     */
    @Test
    @Timeout(15)
    void planningIsFastWithManyPendingStartsAndFullWorkers() throws Exception {
        Configuration configuration = configuration(SERVICES);
        List<Worker> full = List.of(new Worker("a1", "a", true, 900, 0), new Worker("b1", "b", true, 900, 0));
        for (int i = 0; i < SERVICES; i++) {
            addWaitingRequests("s" + i, "a", 3);
        }
        for (int i = 0; i < PENDING_STARTS; i++) {
            pendingStarts.add("s" + i % SERVICES, "a", "a1");
        }
        Scaler scaler = new Scaler(0, 0, Runnable::run);
        for (int i = 0; i < PLANS; i++) {
            assertThat(plannedStarts(scaler, configuration, full), is(empty()));
        }
    }

    /** Guards against a plan that fails, or starts nothing, for a service with a boot time or target latency of 0. */
    @ParameterizedTest
    @CsvSource({"0,1000", "0,0", "1,0", "500,0"})
    void startsAServiceThatBootsAtOnceOrHasNoTarget(int bootMs, int targetMs) throws Exception {
        String route = "{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":\"/\",\"timeout_ms\":1,\"service\":\"s0\","
                + "\"target_latency_ms\":" + targetMs + "}";
        // Too little memory for an instance without demand, which would hide that none is started for the demand.
        List<Worker> workers = List.of(new Worker("a1", "a", true, 900, 900));
        addWaitingRequests("s0", "a", 1);
        assertThat(
                plannedStarts(new Scaler(0, 0, Runnable::run), configuration(1, bootMs, route), workers),
                hasItem("s0 on a1"));
    }

    /** Guards against a service that cannot be planned and by which nothing is started any more. */
    @Test
    void failingServiceDoesNotAffectOthers() throws Exception {
        List<Worker> workers = List.of(new Worker("a1", "a", true, 900, 900));
        demands.put("s0", Arrays.asList((Demand) null));
        addWaitingRequests("s1", "a", 1);
        List<Exception> failures = new ArrayList<>();
        Scaler scaler = new Scaler(0, 0, task -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                failures.add(e);
            }
        });
        assertThat(plannedStarts(scaler, configuration(2), workers), hasItem("s1 on a1"));
        assertThat(failures.size(), is(1));
    }
}
