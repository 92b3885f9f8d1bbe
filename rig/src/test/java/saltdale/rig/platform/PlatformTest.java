package saltdale.rig.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.rig.platform.Instance.State;
import saltdale.rig.simulate.EventQueue;

/** Tests the model of the platform in simulated time. */
class PlatformTest {
    private static final Duration START_LIMIT = Duration.ofMillis(1000); // longer than any service takes

    private final EventQueue eventQueue = new EventQueue();
    private final List<String> socketEvents = new ArrayList<>();
    private final Deployment deployment = Deployment.small(77, 3, 3);
    private final Platform platform = new Platform(
            deployment,
            new Clock() {
                @Override
                public Duration now() {
                    return eventQueue.now();
                }

                @Override
                public void schedule(Duration delay, Runnable action) {
                    eventQueue.scheduleAfter(delay, action);
                }
            },
            new Platform.Sockets() {
                @Override
                public void listen(Instance instance) {
                    socketEvents.add("listen " + instance.service.name());
                }

                @Override
                public void stopAccepting(Instance instance) {
                    socketEvents.add("cease " + instance.service.name());
                }

                @Override
                public void crash(Instance instance) {
                    socketEvents.add("crash " + instance.service.name());
                }
            },
            1);

    private void advance(Duration span) {
        eventQueue.runUntil(eventQueue.now().plus(span));
    }

    private Instance startRunner(String service, String nonce) {
        String identifier = platform.begin(null, service, "w-north", nonce)
                .body()
                .path("identifier")
                .asText();
        return platform.liveInstances().stream()
                .filter(each -> each.identifier.equals(identifier))
                .findFirst()
                .orElseThrow();
    }

    private List<String> listedRunners() {
        List<String> all = new ArrayList<>();
        for (JsonNode each : platform.runners(null, null).body().path("instances")) {
            all.add(each.path("service").asText() + " " + each.path("state").asText());
        }
        return all;
    }

    private int freeMemoryMb() {
        for (JsonNode each : platform.workers().body().path("worker_machines")) {
            if (each.path("name").asText().equals("w-north")) {
                return each.path("free_memory_mb").asInt();
            }
        }
        return -1;
    }

    @Test
    void listsRunnerAfterItsStartAndTheListLag() {
        Instance instance = startRunner("desk-1", "n");
        assertThat(instance.state(), is(State.BOOTING));
        assertThat(freeMemoryMb(), is(4096));
        advance(START_LIMIT);
        assertThat(socketEvents, contains("listen desk-1"));
        advance(deployment.listLag());
        assertThat(listedRunners(), contains("desk-1 ready"));
        assertThat(freeMemoryMb(), is(4096 - 512));
    }

    @Test
    void repeatedNonceReturnsSameRunnerForSameServiceOnly() {
        Instance first = startRunner("press-1", "n");
        assertThat(startRunner("press-1", "n").identifier, equalTo(first.identifier));
        assertThat(startRunner("press-2", "n").identifier, not(equalTo(first.identifier)));
        advance(START_LIMIT);
        platform.stop(null, first.identifier);
        assertThat(
                platform.begin(null, "press-1", "w-north", "n")
                        .body()
                        .path("identifier")
                        .asText(),
                equalTo(first.identifier));
    }

    @Test
    void rejectsImpossibleStarts() {
        assertThat(platform.begin(null, "none", "w-north", "n").status(), is(400));
        assertThat(platform.begin(null, "desk-1", null, "n").status(), is(400));
        assertThat(platform.begin(null, "desk-1", "w-north", null).status(), is(400));
        assertThat(platform.begin(null, "desk-1", "w-none", "n").status(), is(409));
        for (int i = 0; i < 8; i++) {
            assertThat(platform.begin(null, "desk-1", "w-north", "n" + i).status(), is(200));
        }
        assertThat(platform.begin(null, "press-1", "w-north", "one more").status(), is(409));
        platform.drain("w-south");
        assertThat(platform.begin(null, "desk-1", "w-south", "n").status(), is(409));
        assertThat(platform.stop(null, "i-none").status(), is(404));
    }

    @Test
    void rejectsFenceNumberLowerThanOneSeenBefore() {
        assertThat(platform.begin(5L, "desk-1", "w-north", "a").status(), is(200));
        assertThat(platform.begin(4L, "desk-1", "w-north", "b").status(), is(409));
        assertThat(platform.begin(5L, "desk-1", "w-north", "b").status(), is(200));
        assertThat(platform.stop(4L, "i-none").status(), is(409));
        assertThat(platform.stop(6L, "i-none").status(), is(404));
    }

    @Test
    void rejectsCallsBeyondTheRateLimitsUntilASecondHasPassed() {
        int acceptedCalls = 0;
        for (int i = 0; i < 200; i++) {
            acceptedCalls += platform.stop(null, "i-none").status() == 404 ? 1 : 0;
        }
        assertThat(acceptedCalls, is(105));
        for (int i = 0; i < 13; i++) {
            assertThat(platform.workers().status(), is(200));
            assertThat(platform.runners(null, null).status(), is(200));
        }
        assertThat(platform.runners(null, null).status(), is(429));
        assertThat(platform.workers().status(), is(429));
        advance(Duration.ofSeconds(1));
        assertThat(platform.runners(null, null).status(), is(200));
        assertThat(platform.stop(null, "i-none").status(), is(404));
    }

    @Test
    void stoppedRunnerFinishesItsRequestsBeforeItsMemoryIsFreed() {
        Instance instance = startRunner("desk-1", "n");
        advance(START_LIMIT);
        assertThat(instance.admit("a", null, null).runs(), is(true));
        platform.stop(null, instance.identifier);
        assertThat(socketEvents, contains("listen desk-1", "cease desk-1"));
        advance(deployment.listLag());
        assertThat(listedRunners(), empty());
        assertThat(freeMemoryMb(), is(4096 - 512));
        instance.requestFinished();
        advance(deployment.listLag());
        assertThat(freeMemoryMb(), is(4096));
    }

    @Test
    void drainedRunnerServesUntilTheDrainTimeHasPassed() {
        Instance instance = startRunner("desk-1", "n");
        advance(START_LIMIT);
        platform.drain("w-north");
        advance(deployment.bounds().drain());
        assertThat(listedRunners(), contains("desk-1 draining"));
        assertThat(instance.admit("a", null, null).runs(), is(true));
        instance.requestFinished();
        advance(Duration.ofSeconds(1));
        assertThat(instance.state(), is(State.ENDED));
    }

    @Test
    void crashedWorkerReturnsEmptyWhileItsRunnersStayListedForSomeTime() {
        Instance instance = startRunner("desk-1", "n");
        advance(START_LIMIT);
        instance.admit("a", null, null);
        platform.crash("w-north", Duration.ofSeconds(2));
        assertThat(socketEvents, contains("listen desk-1", "crash desk-1"));
        assertThat(platform.begin(null, "desk-1", "w-north", "m").status(), is(409));
        advance(deployment.listLag());
        assertThat(listedRunners(), contains("desk-1 ready"));
        assertThat(freeMemoryMb(), is(-1));
        instance.requestFinished(); // the connection closes only after the crash
        advance(Duration.ofSeconds(3));
        assertThat(listedRunners(), empty());
        assertThat(freeMemoryMb(), is(4096));
    }

    @Test
    void addressIsReusedForAnotherServiceAfterTheReuseDelay() {
        Instance first = startRunner("desk-1", "a");
        advance(START_LIMIT);
        platform.stop(null, first.identifier);
        assertThat(startRunner("press-1", "b").address, not(equalTo(first.address)));
        advance(deployment.bounds().addressReuse());
        assertThat(startRunner("press-2", "c").address, equalTo(first.address));
    }

    @Test
    void runnerLimitsConcurrentRequestsAndNamesTheReasonOfARejection() {
        Instance instance = startRunner("press-1", "n");
        advance(START_LIMIT);
        assertThat(instance.admit("a", "i-other", null).status(), is(421));
        assertThat(instance.admit(null, null, null).status(), is(400));
        assertThat(instance.admit("a", null, Duration.ZERO), is(new Instance.Admission(503, false)));
        assertThat(
                instance.admit("a", instance.identifier, Duration.ofMillis(1)).runs(), is(true));
        assertThat(instance.admit("b", null, null), is(new Instance.Admission(503, true)));
        instance.requestFinished();
        assertThat(instance.admit("b", null, null).runs(), is(true));
    }

    @Test
    void pagedListMissesNothingWhenRunnersDisappear() {
        List<Instance> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String worker = i % 2 == 0 ? "w-north" : "w-south";
            String identifier = platform.begin(null, "press-1", worker, "n" + i)
                    .body()
                    .path("identifier")
                    .asText();
            all.add(platform.liveInstances().stream()
                    .filter(each -> each.identifier.equals(identifier))
                    .findFirst()
                    .orElseThrow());
        }
        // Each worker has memory for 32 of these runners.
        advance(START_LIMIT.plus(deployment.listLag()));
        JsonNode first = platform.runners(null, null).body();
        assertThat(first.path("instances").size(), is(50));
        platform.stop(null, all.get(3).identifier);
        advance(deployment.listLag());
        JsonNode second =
                platform.runners(null, first.path("next_page_token").asText()).body();
        assertThat(second.path("instances").size(), is(10));
        assertThat(second.path("next_page_token").isNull(), is(true));
        assertThat(platform.runners("north", null).body().path("instances").size(), is(30));
        assertThat(platform.liveInstances(), hasSize(59));
    }
}
