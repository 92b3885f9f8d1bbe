package saltdale.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ScalerTest {
    private static final int SERVICES = 700;
    private static final int STARTS_UNDER_WAY = 1500;
    private static final int PLANS = 200;

    private final InstanceTable instances = new InstanceTable(1, 1);
    private final PendingStarts underWay = new PendingStarts();
    private final Map<String, List<Demand>> demands = new HashMap<>();

    private static Configuration configuration(int services) throws Exception {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            texts.add("{\"name\":\"s" + i + "\",\"health_path\":null,\"connection_limit\":9,\"protocol\":\"h1\","
                    + "\"memory_mb\":128,\"boot_ms\":500,\"max_concurrency\":1}");
        }
        String text = "{\"revision\":1,\"routes\":[],\"services\":[" + String.join(",", texts) + "]}";
        return new Configuration(new Fields(Trees.fromJson(text.getBytes(StandardCharsets.UTF_8))));
    }

    private void waits(String service, String zone, int requests) {
        demands.put(service, List.of(new Demand(service, zone, 0, 0, 0, requests, 0)));
    }

    private List<String> starts(Scaler scaler, Configuration configuration, List<Worker> workers) {
        return scaler.plan(0, configuration, demands, instances, workers, underWay).starts().stream()
                .map(start -> start.service() + " on " + start.worker())
                .toList();
    }

    @Test
    void instancesOfOneServiceAreSpreadOverTheWorkersOfTheZone() throws Exception {
        List<Worker> workers = List.of(
                new Worker("a1", "a", true, 900, 900),
                new Worker("a2", "a", true, 900, 600),
                new Worker("b1", "b", true, 900, 900));
        waits("s0", "a", 2);
        underWay.add("s0", "b", "b1"); // in another zone: not one of those wanted here
        assertThat(starts(new Scaler(0, 0), configuration(2), workers), containsInAnyOrder("s0 on a1", "s0 on a2"));
        underWay.add("s0", "a", "a1");
        underWay.add("s0", "a", "a2");
        assertThat(starts(new Scaler(0, 0), configuration(2), workers), is(empty()));
    }

    /** What there was before looked through all starts under way for each service. */
    @Test
    @Timeout(15)
    void aPlanCostsNoMoreWhereNothingFitsAndManyStartsAreUnderWay() throws Exception {
        Configuration configuration = configuration(SERVICES);
        List<Worker> full = List.of(new Worker("a1", "a", true, 900, 0), new Worker("b1", "b", true, 900, 0));
        for (int i = 0; i < SERVICES; i++) {
            waits("s" + i, "a", 3);
        }
        for (int i = 0; i < STARTS_UNDER_WAY; i++) {
            underWay.add("s" + i % SERVICES, "a", "a1");
        }
        Scaler scaler = new Scaler(0, 0);
        for (int i = 0; i < PLANS; i++) {
            assertThat(starts(scaler, configuration, full), is(empty()));
        }
    }
}
