package saltdale.rig.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltdale.model.Workload;
import saltdale.rig.judge.EventObserver.FinalAnswer;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.PlannedWorkload;
import saltdale.rig.plan.SizeDistribution;
import saltdale.rig.plan.Traffic;
import saltdale.rig.plan.Traffic.Shape;

class LoadTest {
    private final Workload workload = new Workload();
    private final List<PlannedWorkload> workloads =
            List.of(new PlannedWorkload(workload, 1, new SizeDistribution(SizeDistribution.Kind.LOGNORMAL, ms(40), 1)));

    LoadTest() {
        workload.name = "w";
        workload.targetLatency = ms(100);
        workload.clientTimeout = ms(1000);
    }

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private List<ClientRequest> requests(Traffic traffic) {
        List<ClientRequest> all = new ArrayList<>();
        new Arrivals(traffic, workloads, Duration.ofSeconds(100), 3).forEachRemaining(all::add);
        return all;
    }

    @Test
    void steadyArrivalsHaveTheirRateAndExponentialGaps() {
        List<ClientRequest> all = requests(Traffic.steady(200));
        assertEquals(20_000, all.size(), 500);
        double squares = 0;
        for (int i = 1; i < all.size(); i++) {
            double gap =
                    all.get(i).intendedAt().minus(all.get(i - 1).intendedAt()).toNanos() / 1e9 * 200;
            squares += gap * gap;
        }
        assertEquals(2, squares / all.size(), 0.1); // E[x^2] of an exponential gap is twice its squared mean
        assertEquals(
                0.04,
                all.stream().mapToDouble(ClientRequest::workSeconds).average().orElse(0),
                0.002);
    }

    @Test
    void eachShapeKeepsTheMeanRate() {
        for (Shape shape : Shape.values()) {
            List<ClientRequest> all = requests(
                    Traffic.steady(100).withShape(shape, 0.8, Duration.ofSeconds(shape == Shape.STEP ? 50 : 10)));
            assertEquals(10_000, all.size(), 400, shape.name());
        }
    }

    @Test
    void aBurstTakesAFifthOfThePeriod() {
        List<ClientRequest> all = requests(Traffic.steady(100).withShape(Shape.BURST, 1, Duration.ofSeconds(10)));
        long within = all.stream()
                .filter(a -> a.intendedAt().toMillis() % 10_000 < 2000)
                .count();
        assertEquals(0.4, (double) within / all.size(), 0.02);
    }

    @Test
    void tracesAreReadInBothFormatsScaledAndSpliced() {
        Trace csv = Trace.of("t.csv", "at,workload,size\n0.5,w,0.02\n1.5,w,0.04\n2.5,w,0.01\n");
        Trace json = Trace.of(
                "t.jsonl",
                "{\"at\":0.5,\"workload\":\"w\",\"size\":0.02}\n"
                        + "{\"at\":1.5,\"workload\":\"w\",\"size\":0.04}\n{\"at\":2.5,\"workload\":\"w\",\"size\":0.01}\n");
        assertEquals(csv.requests(workloads, 1, ms(9000)), json.requests(workloads, 1, ms(9000)));
        assertEquals(
                List.of(ms(500), ms(1000), ms(1500), ms(2000), ms(2500), ms(2500)),
                csv.requests(workloads, 2, ms(9000)).stream()
                        .map(ClientRequest::intendedAt)
                        .toList());
        assertEquals(1, csv.requests(workloads, 0.4, ms(9000)).size());
        assertEquals(
                List.of(ms(500), ms(5500)),
                csv.spliced(List.of("0s..1s@0s", "1s..2s@5s")).requests(workloads, 1, ms(9000)).stream()
                        .map(ClientRequest::intendedAt)
                        .toList());
    }

    @Test
    void anInvalidTraceIsReportedWithItsLine() {
        assertEquals(
                "t: line 2: expected at,workload,size with seconds, a name, seconds",
                assertThrows(InvalidInputException.class, () -> Trace.of("t", "0.5,w,0.02\n0.6;w\n"))
                        .getMessage());
        assertThrows(InvalidInputException.class, () -> Trace.of("t", "{\"at\":1}\n"));
        assertThrows(InvalidInputException.class, () -> Trace.of("t", "NaN,w,1\n"));
        assertThrows(
                InvalidInputException.class, () -> Trace.of("t", "1,other,1\n").requests(workloads, 1, ms(9000)));
        assertThrows(InvalidInputException.class, () -> Trace.of("t", ""));
    }

    @Test
    void clientsRetryOnlyWhereItIsSafeAndAtMostTheMaximum() {
        ClientRetryPolicy retryPolicy =
                new ClientRetryPolicy(Traffic.steady(1).withRetries(2, ms(50), 1), new SplittableRandom(1));
        assertNull(retryPolicy.nextDelay(workload, 1, FinalAnswer.FULFILLED, null, ms(0), ms(0)));
        Duration first = retryPolicy.nextDelay(workload, 1, FinalAnswer.GIVEN_UP, null, ms(0), ms(0));
        Duration second = retryPolicy.nextDelay(workload, 2, null, null, ms(0), ms(0));
        assertTrue(first.compareTo(ms(25)) >= 0 && first.compareTo(ms(50)) <= 0, first.toString());
        assertTrue(second.compareTo(ms(50)) >= 0 && second.compareTo(ms(100)) <= 0, second.toString());
        assertNull(retryPolicy.nextDelay(workload, 3, FinalAnswer.SHED, null, ms(0), ms(0)));
        assertEquals(ms(700), retryPolicy.nextDelay(workload, 1, FinalAnswer.SHED, ms(700), ms(0), ms(0)));
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        assertNull(retryPolicy.nextDelay(workload, 1, FinalAnswer.GIVEN_UP, null, ms(0), ms(0)));
        assertNotNull(retryPolicy.nextDelay(workload, 1, FinalAnswer.SHED, null, ms(0), ms(0)));
        workload.repeatSafety = Workload.RepeatSafety.RECEIPTED;
        workload.dedupWindow = ms(500);
        assertNotNull(retryPolicy.nextDelay(workload, 1, FinalAnswer.GIVEN_UP, null, ms(400), ms(0)));
        assertNull(retryPolicy.nextDelay(workload, 1, FinalAnswer.GIVEN_UP, null, ms(600), ms(0)));
    }

    @Test
    void theRetryBudgetLimitsRetriesOverAllClients() {
        ClientRetryPolicy retryPolicy =
                new ClientRetryPolicy(Traffic.steady(1).withRetries(9, ms(5), 0.1), new SplittableRandom(1));
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            retryPolicy.recordFirstTry();
            retries += retryPolicy.nextDelay(workload, 1, FinalAnswer.SHED, null, ms(0), ms(0)) == null ? 0 : 1;
        }
        assertEquals(110, retries, 1); // the initial credit of ten, then one in ten
    }

    @Test
    void latenciesDuringAStallCountFromIntendedTimes() {
        RequestStatistics statistics = new RequestStatistics(workloads, Duration.ZERO);
        // A request every 10 ms, each served in 1 ms, except during a stall from 1 s to 2 s: those are answered at 2 s.
        for (int i = 0; i < 300; i++) {
            Duration at = ms(10L * i);
            boolean stalled = at.compareTo(ms(1000)) >= 0 && at.compareTo(ms(2000)) < 0;
            statistics.record(
                    new ClientRequest(i, at, workloads.get(0), 0.001),
                    FinalAnswer.FULFILLED,
                    stalled ? ms(2000) : at.plusMillis(1),
                    1,
                    false);
        }
        // Expected: a third takes 10, 20, ... 1000 ms; the other 200 take 1 ms.
        assertEquals(1000, statistics.figures().get("max_ms"), 1);
        assertEquals(700, statistics.latency().getValueAtPercentile(90) / 1e3, 11);
        assertEquals(1, statistics.figures().get("p50_ms"), 0.01);
        assertEquals(210 / 300.0, statistics.service(), 1e-9);
    }
}
