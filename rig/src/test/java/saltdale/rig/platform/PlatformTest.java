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

/** The platform's rules, in simulated time. */
class PlatformTest {
    private static final Duration A_START = Duration.ofMillis(1000); // longer than any service's

    private final EventQueue time = new EventQueue();
    private final List<String> sockets = new ArrayList<>();
    private final Deployment deployment = Deployment.small(77, 3, 3);
    private final Platform platform = new Platform(
            deployment,
            new Clock() {
                @Override
                public Duration now() {
                    return time.now();
                }

                @Override
                public void schedule(Duration delay, Runnable action) {
                    time.scheduleAfter(delay, action);
                }
            },
            new Platform.Sockets() {
                @Override
                public void listen(Instance instance) {
                    sockets.add("listen " + instance.service.name());
                }

                @Override
                public void stopAccepting(Instance instance) {
                    sockets.add("cease " + instance.service.name());
                }

                @Override
                public void crash(Instance instance) {
                    sockets.add("crash " + instance.service.name());
                }
            },
            1);

    private void pass(Duration span) {
        time.runUntil(time.now().plus(span));
    }

    private Instance begin(String service, String nonce) {
        String identifier = platform.begin(null, service, "w-north", nonce)
                .body()
                .path("identifier")
                .asText();
        return platform.liveInstances().stream()
                .filter(each -> each.identifier.equals(identifier))
                .findFirst()
                .orElseThrow();
    }

    private List<String> listed() {
        List<String> all = new ArrayList<>();
        for (JsonNode each : platform.runners(null, null).body().path("instances")) {
            all.add(each.path("service").asText() + " " + each.path("state").asText());
        }
        return all;
    }

    private int free() {
        for (JsonNode each : platform.workers().body().path("worker_machines")) {
            if (each.path("name").asText().equals("w-north")) {
                return each.path("free_memory_mb").asInt();
            }
        }
        return -1;
    }

    @Test
    void aRunnerIsListedOnceItHasStartedAndTheLagIsOver() {
        Instance instance = begin("desk-1", "n");
        assertThat(instance.state(), is(State.BOOTING));
        assertThat(free(), is(4096));
        pass(A_START);
        assertThat(sockets, contains("listen desk-1"));
        pass(deployment.listLag());
        assertThat(listed(), contains("desk-1 ready"));
        assertThat(free(), is(4096 - 512));
    }

    @Test
    void aNonceIsAnsweredWithTheSameRunnerForOneServiceOnly() {
        Instance first = begin("press-1", "n");
        assertThat(begin("press-1", "n").identifier, equalTo(first.identifier));
        assertThat(begin("press-2", "n").identifier, not(equalTo(first.identifier)));
        pass(A_START);
        platform.stop(null, first.identifier);
        assertThat(
                platform.begin(null, "press-1", "w-north", "n")
                        .body()
                        .path("identifier")
                        .asText(),
                equalTo(first.identifier));
    }

    @Test
    void refusesWhatItCannotStart() {
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
    void aLowerFenceThanSeenIsRefused() {
        assertThat(platform.begin(5L, "desk-1", "w-north", "a").status(), is(200));
        assertThat(platform.begin(4L, "desk-1", "w-north", "b").status(), is(409));
        assertThat(platform.begin(5L, "desk-1", "w-north", "b").status(), is(200));
        assertThat(platform.stop(4L, "i-none").status(), is(409));
        assertThat(platform.stop(6L, "i-none").status(), is(404));
    }

    @Test
    void callsBeyondTheRatesAreRefusedUntilASecondIsOver() {
        int taken = 0;
        for (int i = 0; i < 200; i++) {
            taken += platform.stop(null, "i-none").status() == 404 ? 1 : 0;
        }
        assertThat(taken, is(105));
        for (int i = 0; i < 13; i++) {
            assertThat(platform.workers().status(), is(200));
            assertThat(platform.runners(null, null).status(), is(200));
        }
        assertThat(platform.runners(null, null).status(), is(429));
        assertThat(platform.workers().status(), is(429));
        pass(Duration.ofSeconds(1));
        assertThat(platform.runners(null, null).status(), is(200));
        assertThat(platform.stop(null, "i-none").status(), is(404));
    }

    @Test
    void aStoppedRunnerEndsItsWorkAndOnlyThenGivesBackItsMemory() {
        Instance instance = begin("desk-1", "n");
        pass(A_START);
        assertThat(instance.admit("a", null, null).runs(), is(true));
        platform.stop(null, instance.identifier);
        assertThat(sockets, contains("listen desk-1", "cease desk-1"));
        pass(deployment.listLag());
        assertThat(listed(), empty());
        assertThat(free(), is(4096 - 512));
        instance.requestFinished();
        pass(deployment.listLag());
        assertThat(free(), is(4096));
    }

    @Test
    void aDrainedRunnerServesOnForTheDrain() {
        Instance instance = begin("desk-1", "n");
        pass(A_START);
        platform.drain("w-north");
        pass(deployment.bounds().drain());
        assertThat(listed(), contains("desk-1 draining"));
        assertThat(instance.admit("a", null, null).runs(), is(true));
        instance.requestFinished();
        pass(Duration.ofSeconds(1));
        assertThat(instance.state(), is(State.ENDED));
    }

    @Test
    void aCrashedWorkerComesBackEmptyAndItsRunnersStayListedForAWhile() {
        Instance instance = begin("desk-1", "n");
        pass(A_START);
        instance.admit("a", null, null);
        platform.crash("w-north", Duration.ofSeconds(2));
        assertThat(sockets, contains("listen desk-1", "crash desk-1"));
        assertThat(platform.begin(null, "desk-1", "w-north", "m").status(), is(409));
        pass(deployment.listLag());
        assertThat(listed(), contains("desk-1 ready"));
        assertThat(free(), is(-1));
        instance.requestFinished(); // its connection closes only now
        pass(Duration.ofSeconds(3));
        assertThat(listed(), empty());
        assertThat(free(), is(4096));
    }

    @Test
    void anAddressGoesToAnotherServiceOnceItMay() {
        Instance first = begin("desk-1", "a");
        pass(A_START);
        platform.stop(null, first.identifier);
        assertThat(begin("press-1", "b").address, not(equalTo(first.address)));
        pass(deployment.bounds().addressReuse());
        assertThat(begin("press-2", "c").address, equalTo(first.address));
    }

    @Test
    void aRunnerTakesSoManyAtOnceAndSaysWhyItTakesNoMore() {
        Instance instance = begin("press-1", "n");
        pass(A_START);
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
    void aLongListComesInPagesThatMissNothingWhenRunnersGo() {
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
        // Memory is for 32 of these on each worker.
        pass(A_START.plus(deployment.listLag()));
        JsonNode first = platform.runners(null, null).body();
        assertThat(first.path("instances").size(), is(50));
        platform.stop(null, all.get(3).identifier);
        pass(deployment.listLag());
        JsonNode second =
                platform.runners(null, first.path("next_page_token").asText()).body();
        assertThat(second.path("instances").size(), is(10));
        assertThat(second.path("next_page_token").isNull(), is(true));
        assertThat(platform.runners("north", null).body().path("instances").size(), is(30));
        assertThat(platform.liveInstances(), hasSize(59));
    }
}
