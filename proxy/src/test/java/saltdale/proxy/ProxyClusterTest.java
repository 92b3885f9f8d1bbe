package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.load;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;
import static saltdale.proxy.SimOperator.servingCluster;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.control.ConfigurationSnapshot;
import saltdale.control.ConfigurationTree;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.Member;
import saltdale.control.ServiceOwnership;
import saltdale.control.Trees;
import saltdale.control.message.InstanceMessage.InstanceUpdates;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.ConfigurationOffer;
import saltdale.control.message.SessionMessage.InstancesChange;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.SessionUpdate;
import saltdale.control.message.SessionMessage.SnapshotPart;

/**
 * The behaviour of proxies towards clients and instances: configurations, slots, draining, execution status, and
 * starting instances on demand.
 */
class ProxyClusterTest {
    private static long revision(SimMachine proxy) {
        return proxy.proxy() == null || proxy.proxy().configuration() == null
                ? 0
                : proxy.proxy().configuration().revision();
    }

    // Configurations.

    @Test
    void revisionNeverDecreasesWithinOneProcess() {
        for (int seed = 0; seed < 6; seed++) {
            SimWorld world = servingCluster(seed, 3, 4);
            Map<Proxy, Long> highest = new HashMap<>();
            long[] acknowledged = {1};
            for (int i = 0; i < 160; i++) {
                if (i % 8 == 0) {
                    SimMachine machine = world.controlNodes.get(world.random.nextInt(3));
                    world.cutLinks.clear();
                    world.controlNodes.forEach(SimMachine::start);
                    world.controlNodes.stream().filter(k -> k.frozen).forEach(SimMachine::thaw);
                    switch (world.random.nextInt(5)) {
                        case 0 -> machine.kill();
                        case 1 -> machine.freeze();
                        case 2 -> world.isolate(machine);
                        case 3 -> world.proxies.forEach(p -> world.cutOneWay(machine, p));
                        default -> world.proxies.get(world.random.nextInt(4)).kill();
                    }
                    world.proxies.forEach(SimMachine::start);
                    long next = acknowledged[0] + 1;
                    SimMachine node = world.controlNodes.get(world.random.nextInt(3));
                    if (node.process != null) {
                        replace(
                                node,
                                acknowledged[0],
                                config(next),
                                reply -> acknowledged[0] = Math.max(acknowledged[0], reply.status() == 200 ? next : 0));
                    }
                }
                world.run(100);
                for (SimMachine each : world.proxies) {
                    if (each.proxy() != null) {
                        long now = revision(each);
                        assertThat("seed " + seed, now, greaterThanOrEqualTo(highest.getOrDefault(each.proxy(), 0L)));
                        highest.put(each.proxy(), now);
                    }
                }
            }
            assertThat(acknowledged[0], greaterThan(4L));
            assertThat(world.violations, is(empty()));
        }
    }

    /** An older configuration is ignored even if the selected control node sends it in the current session. */
    @Test
    void olderConfigurationIsIgnored() throws Exception {
        SimWorld world = new SimWorld(1);
        String[] session = new String[1];
        Map<String, Long> lastNumbers = new HashMap<>(); // the number of the newest update, by session
        world.messageObserver = m -> {
            if (m instanceof LeaseRenewal renewal && renewal.member().host().equals("10.1.0.1")) {
                session[0] = renewal.session();
            } else if (m instanceof SessionUpdate update) {
                lastNumbers.put(update.session(), update.number());
            }
        };
        servingCluster(world, 3, 1);
        assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000));
        world.run(1000);
        SimMachine proxy = world.proxies.get(0);
        assertThat(revision(proxy), is(2L));
        long lastNumber = lastNumbers.get(session[0]);
        ConfigurationTree older = ConfigurationTree.of(Trees.fromJson(config(1).getBytes(StandardCharsets.UTF_8)));
        ConfigurationTree newer = ConfigurationTree.of(Trees.fromJson(config(2).getBytes(StandardCharsets.UTF_8)));
        for (SimMachine controlNode : world.controlNodes) {
            proxy.process.receive(
                    controlNode.host,
                    new ConfigurationChange(
                            session[0], lastNumber + 1, 2, newer.digest(), 1, older.digest(), newer.changeTo(older)));
        }
        assertThat("after a change to an older revision", revision(proxy), is(2L));
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(older);
        byte[] bytes = snapshot.bytes();
        for (SimMachine controlNode : world.controlNodes) {
            proxy.process.receive(controlNode.host, new ConfigurationOffer(session[0], lastNumber + 2, 1));
            proxy.process.receive(
                    controlNode.host, new SnapshotPart(session[0], snapshot.digest(), 0, bytes.length, bytes));
        }
        assertThat("after a snapshot of an older revision", revision(proxy), is(2L));
        assertTrue(replaceUntilAcknowledged(world, 2, config(3), 5000));
        assertTrue(world.runUntil(3000, () -> revision(proxy) == 3), "later changes are applied");
    }

    @ParameterizedTest
    @ValueSource(strings = {"both", "hears", "speaks"})
    void proxiesLeaveAnIsolatedControlNode(String direction) {
        for (int seed = 0; seed < 6; seed++) {
            SimWorld world = servingCluster(seed, 3, 6);
            SimMachine isolated = world.controlNodes.get(seed % 3);
            for (SimMachine other : world.controlNodes) {
                if (other != isolated && !direction.equals("hears")) {
                    world.cutOneWay(other, isolated);
                }
                if (other != isolated && !direction.equals("speaks")) {
                    world.cutOneWay(isolated, other);
                }
            }
            world.run(world.random.nextInt(2000));
            assertThat(replace(world, world.controlNodes.get((seed + 1) % 3), 1, config(2)), is(200));
            assertTrue(
                    world.runUntil(3000, () -> world.proxies.stream().allMatch(p -> revision(p) == 2)), "seed " + seed);
        }
    }

    // Instances.

    enum Disruption {
        NONE,
        JOIN,
        LEAVE,
        KILL,
        POWER,
        FREEZE,
        CUT
    }

    @ParameterizedTest
    @EnumSource(Disruption.class)
    void noInstanceExceedsItsSlots(Disruption disruption) {
        int exceeded = 0;
        int served = 0;
        for (int seed = 0; seed < 2; seed++) {
            // Six services, each with a few instances of one slot, busy most of the time.
            SimWorld world = servingCluster(seed, 3, 6);
            world.platform.workers.values().forEach(w -> w.memory = 256);
            StringBuilder services = new StringBuilder();
            StringBuilder routes = new StringBuilder();
            for (int i = 0; i < 6; i++) {
                world.platform.slots.put("s" + i, 1);
                world.platform.memory.put("s" + i, 64);
                services.append(",{\"name\":\"s")
                        .append(i)
                        .append("\",\"connection_limit\":20,\"memory_mb\":64,\"boot_ms\":500,\"max_concurrency\":1}");
                routes.append(',')
                        .append(SimOperator.route(
                                "r-s" + i, "/s" + i + "/", i % 2 == 0 ? "idempotent" : "non_idempotent", "s" + i));
            }
            assertTrue(replaceUntilAcknowledged(
                    world,
                    1,
                    config(2)
                            .replace("}],\"services\"", "}" + routes + "],\"services\"")
                            .replace("\"max_concurrency\":4}", "\"max_concurrency\":4}" + services),
                    5000));
            load(world, 240, 8000, () -> "/s" + world.random.nextInt(6) + "/1");
            world.run(3000);
            for (int i = 0; i < 2; i++) {
                SimMachine machine = world.proxies.get((seed + i) % 6);
                switch (disruption) {
                    case JOIN ->
                        world.proxy("10.1.0." + (50 + i), SimWorld.ZONES[i]).start();
                    case LEAVE -> {
                        machine.proxy().shutDown(2_000_000_000L);
                        world.schedule(5_000_000_000L, machine::kill);
                    }
                    case KILL -> {
                        machine.kill();
                        world.schedule(600_000_000L, machine::start);
                    }
                    case POWER -> machine.powerOff();
                    case FREEZE -> {
                        machine.freeze();
                        world.schedule(200_000_000L + world.random.nextLong(4_000_000_000L), machine::thaw);
                    }
                    case CUT -> {
                        world.machines.values().forEach(m -> world.cut(machine, m));
                        world.schedule(3_000_000_000L, world.cutLinks::clear);
                    }
                    default -> {}
                }
                world.run(1500);
            }
            world.run(4500);
            exceeded += world.platform.slotViolations.size();
            served += world.platform.calls.stream().filter(a -> a.is(200)).count();
            assertThat(world.violations, is(empty()));
        }
        assertThat(served, greaterThan(2 * 500));
        assertThat(exceeded, is(0));
    }

    /** An instance that disappears while its owner has no session must not stay in use. */
    @Test
    void instanceLostDuringIsolationIsNotUsedAfterwards() {
        for (int seed = 0; seed < 12; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            load(world, 60, 11_000);
            world.run(3000);
            SimPlatform.Instance lost = world.platform.liveInstances("fn").get(0);
            lost.goneAt = world.now();
            world.run(400 + world.random.nextInt(1000));
            world.controlNodes.forEach(c -> world.proxies.forEach(p -> world.cut(c, p)));
            world.run(1300);
            world.cutLinks.clear();
            world.run(3000);
            world.platform.failedConnections.clear();
            world.run(3000);
            assertThat("seed " + seed, world.platform.failedConnections, not(hasItem(lost.id)));
        }
    }

    @Test
    void drainingInstanceGetsNoRequestsAfterItsDrainTime() {
        for (int seed = 0; seed < 4; seed++) {
            SimWorld world = servingCluster(seed, 3, 6);
            load(world, 120, 10_000);
            world.run(3000);
            assertThat(world.platform.liveInstances("fn").size(), greaterThan(2));
            world.platform.liveInstances("fn").get(0).drain();
            world.run(1000);
            world.platform.liveInstances("fn").get(1).drain();
            world.run(7000);
            assertThat("seed " + seed, world.platform.callsAfterDrain, is(empty()));
        }
    }

    // Execution status.

    @Test
    void eachCallGetsOneAnswerAndOnlyIdempotentCallsRunTwice() {
        int retried = 0;
        for (int seed = 0; seed < 4; seed++) {
            SimWorld world = servingCluster(seed, 3, 4);
            world.platform.breakProbability = 0.1;
            world.platform.rejectProbability = 0.1;
            world.platform.unsentProbability = 0.1;
            load(world, 100, 7000);
            world.run(2500);
            world.proxies.get(0).kill();
            world.run(500);
            world.proxies.get(0).start();
            world.controlNodes.get(0).powerOff();
            world.run(2000);
            world.proxies.get(1).freeze();
            world.run(1500);
            world.proxies.get(1).thaw();
            world.run(5000);
            for (SimPlatform.OutgoingCall call : world.platform.calls) {
                assertThat(call.answers.size(), lessThanOrEqualTo(1));
                assertThat("answered, or its proxy is gone", call.answers.size() == 1 || call.isLost(), is(true));
                assertThat(call.idempotent || call.runs <= 1, is(true));
                if (!call.idempotent && (call.is(503) || call.is(429))) {
                    assertThat("a rejected call was not executed", call.runs, is(0));
                }
                retried += call.idempotent && call.runs > 1 && call.is(200) ? 1 : 0;
            }
            assertThat(world.violations, is(empty()));
        }
        assertThat("idempotent calls are retried", retried, greaterThan(10));
    }

    // Starting instances on demand.

    @Test
    void firstCallStartsAnInstanceThatServesIt() {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = servingCluster(seed, 3, 6);
            world.run(2000);
            assertThat(world.platform.instances.values(), is(empty()));
            long calledAt = world.now();
            SimPlatform.OutgoingCall call = world.platform.call(world.proxies.get(seed % 6), "h.example", "/b/1", 5000);
            world.run(3000);
            assertThat(call.answers, is(List.of(200)));
            assertThat("boot time plus a margin", (call.answeredAt - calledAt) / 1_000_000, lessThan(500L + 150 + 250));
            assertThat(world.platform.instances.values(), hasSize(1));
        }
    }

    @Test
    void instancesAreSpreadOverTheWorkersOfAZone() {
        for (int seed = 0; seed < 6; seed++) {
            SimWorld world = servingCluster(seed, 3, 6);
            load(world, 250, 1400);
            world.run(1400);
            for (String zone : SimWorld.ZONES) {
                List<Long> counts = world.platform.workers.values().stream()
                        .filter(w -> w.zone.equals(zone))
                        .map(w -> world.platform.liveInstances("fn").stream()
                                .filter(r -> r.worker == w)
                                .count())
                        .sorted()
                        .toList();
                assertThat(zone, counts.get(1) - counts.get(0), lessThanOrEqualTo(1L));
            }
            assertThat(world.platform.liveInstances("fn").size(), greaterThan(5));
        }
    }

    @Test
    void newDutyHolderStopsNoInstancesAtFirst() {
        for (int seed = 0; seed < 4; seed++) {
            Set<Object> leaving = new HashSet<>(); // instances that the previous holder marked as leaving
            boolean[] newHolderElected = new boolean[1];
            SimWorld world = new SimWorld(seed);
            world.messageObserver = m -> {
                if (m instanceof InstanceUpdates updates && !newHolderElected[0]) {
                    addLeaving(updates.instances(), leaving);
                } else if (m instanceof InstancesChange update && !newHolderElected[0]) {
                    addLeaving(update.instances(), leaving);
                }
            };
            servingCluster(world, 3, 6);
            load(world, 150, 3900);
            world.run(2000);
            int before = world.platform.duties.size();
            long fence = world.platform.highestFence;
            DutyTest.holder(world).powerOff();
            assertTrue(world.runUntil(6000, () -> DutyTest.fence(world) > fence));
            long wonAt = world.now();
            newHolderElected[0] = true;
            world.run(12_000);
            List<SimPlatform.Duty> stops = world.platform.duties.subList(before, world.platform.duties.size()).stream()
                    .filter(d -> d.kind().equals("stop") && d.fence() > fence && !leaving.contains(d.target()))
                    .toList();
            assertThat("idle instances are stopped in the end", stops, is(not(empty())));
            assertThat("seed " + seed, (stops.get(0).at() - wonAt) / 1_000_000, greaterThan(4000L));
        }
    }

    private static void addLeaving(List<Instance> instances, Set<Object> leaving) {
        instances.stream()
                .filter(instance -> instance.phase() == Instance.Phase.LEAVING)
                .forEach(instance -> leaving.add(instance.id()));
    }

    /**
     * A proxy that shuts down does not keep requests until it is killed: queued ones are rejected, and those in
     * progress are answered before it exits.
     */
    @Test
    void queuedRequestsAreRejectedWhenAProxyShutsDown() {
        SimWorld world = servingCluster(3, 3, 3);
        world.platform.bootMs = 60_000; // no slot will come
        SimMachine stopping = world.proxies.get(0);
        SimPlatform.OutgoingCall before = world.platform.call(stopping, "h.example", "/a/1", 20_000);
        world.run(500);
        stopping.proxy().shutDown(1_000_000_000L);
        SimPlatform.OutgoingCall meanwhile = world.platform.call(stopping, "h.example", "/b/1", 20_000);
        world.run(900);
        assertThat(before.answers, is(empty()));
        world.run(200);
        assertThat(before.is(503) && meanwhile.is(503), is(true));
        SimPlatform.OutgoingCall late = world.platform.call(stopping, "h.example", "/a/1", 20_000);
        world.run(300);
        assertThat(late.is(503), is(true));
        assertThat(stopping.proxy().openRequests(), is(0));
    }

    /** A request queued at a leaving owner moves to the new one at once, not only after the old one becomes silent. */
    @Test
    void requestQueuedAtALeavingOwnerMovesToTheNewOne() {
        for (int seed = 0; seed < 6; seed++) {
            SimWorld world = servingCluster(seed, 3, 6);
            world.platform.bootMs = 1500;
            String zone = SimWorld.ZONES[seed % 3];
            SimMachine owner = owner(world, zone);
            SimMachine requester = world.proxies.stream()
                    .filter(proxy -> proxy.zone.equals(zone) && proxy != owner)
                    .findFirst()
                    .orElseThrow();
            SimPlatform.OutgoingCall waiting = world.platform.call(requester, "h.example", "/b/1", 4000);
            world.run(1350);
            owner.proxy().shutDown(2_000_000_000L);
            assertTrue(world.runUntil(
                    2000,
                    () -> world.platform.instances.values().stream()
                            .anyMatch(SimPlatform.Instance::acceptsConnections)));
            assertThat(waiting.answers, is(empty()));
            world.run(550);
            assertThat("seed " + seed, waiting.answers, is(List.of(200)));
        }
    }

    /** All instances are in one zone whose owner is lost or frozen: requests from other zones must not keep waiting. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestsFromOtherZonesAreServedAfterTheOwnerIsReplacedOrResumes(boolean resumes) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = servingCluster(seed, 3, 6);
            SimMachine requester = world.proxies.get(seed % 6);
            List<SimPlatform.OutgoingCall> calls = new ArrayList<>();
            callRepeatedly(world, requester, calls, 10);
            world.run(2500);
            List<String> zones = world.platform.liveInstances("fn").stream()
                    .map(instance -> instance.worker.zone)
                    .distinct()
                    .toList();
            assertThat("seed " + seed, zones, is(List.of(requester.zone)));
            SimMachine remoteProxy = world.proxies.stream()
                    .filter(proxy -> !proxy.zone.equals(requester.zone))
                    .findFirst()
                    .orElseThrow();
            SimMachine owner = owner(world, requester.zone);
            if (resumes) {
                owner.freeze();
                world.schedule(Environment.millisToNanos(1300), owner::thaw);
            } else {
                owner.powerOff();
            }
            calls.clear();
            callRepeatedly(world, remoteProxy, calls, 20);
            world.run(6500);
            calls.forEach(call -> assertThat(call.answers, is(List.of(200))));
        }
    }

    /** Calls the function every 100 ms, the given number of times, each call with a deadline of 4 s. */
    private static void callRepeatedly(
            SimWorld world, SimMachine proxy, List<SimPlatform.OutgoingCall> calls, int times) {
        for (int i = 0; i < times; i++) {
            world.schedule(
                    Environment.millisToNanos(100 * i),
                    () -> calls.add(world.platform.call(proxy, "h.example", "/b/1", 4000)));
        }
    }

    private static SimMachine owner(SimWorld world, String zone) {
        List<Member> members = world.proxies.stream()
                .map(proxy -> new Member(proxy.host, "n-" + proxy.host, proxy.zone, proxy.host, false))
                .toList();
        String host = ServiceOwnership.ownerOf("fn", zone, members).host();
        return world.machines.get(host);
    }

    /** Guards against a plan that fails for a service with a boot time of 0, and is then never made again. */
    @Test
    void serviceWithABootTimeOfZeroIsServed() {
        SimWorld world = servingCluster(12, 3, 3);
        String body = config(2).replace("\"boot_ms\":500", "\"boot_ms\":0");
        assertThat(replace(world, world.controlNodes.get(0), 1, body), is(200));
        world.run(1000);
        for (int i = 0; i < 3; i++) {
            SimPlatform.OutgoingCall call = world.platform.call(world.proxies.get(i), "h.example", "/a/1", 3000);
            world.run(4000);
            assertThat(call.answers, is(List.of(200)));
        }
        assertThat(world.violations, is(empty()));
    }

    /**
     * Guards against instances that start slowly and are taken for gone: none was ever used or stopped. An instance
     * that the configuration announces as slow is waited for, and no other one is started in its place.
     */
    @ParameterizedTest
    @ValueSource(ints = {500, 12_000})
    void slowlyStartedInstancesAreUsedAndStopped(int configuredBootMs) {
        SimWorld world = servingCluster(11, 3, 3);
        world.platform.bootMs = 12_000;
        String body = config(2).replace("\"boot_ms\":500", "\"boot_ms\":" + configuredBootMs);
        assertThat(replace(world, world.controlNodes.get(0), 1, body), is(200));
        load(world, 5, 40_000, () -> "/a/1");
        world.run(36_000);
        SimPlatform.OutgoingCall call = world.platform.call(world.proxies.get(0), "h.example", "/a/1", 3000);
        world.run(4000);
        assertThat(call.answers, is(List.of(200)));
        if (configuredBootMs == 12_000) {
            assertThat(world.platform.instances.size(), is(1));
        }
        assertThat(replace(world, world.controlNodes.get(0), 2, config(3)), is(200));
        world.run(40_000);
        assertThat(world.platform.liveInstances("fn"), is(empty()));
        assertThat(world.violations, is(empty()));
    }
}
