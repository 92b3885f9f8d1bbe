package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.control.ControlNode;
import saltdale.control.FaultyOrderHandling;
import saltdale.control.Platform;
import saltdale.control.message.BallotMessage.Accept;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SlotMessage.SlotCancel;
import saltdale.control.message.SlotMessage.SlotRequest;

/** One failure in the handling of a change stops neither that change nor what comes after it. */
class FailureContainmentTest {
    /** Makes the sending of some messages fail. */
    private static void failToSend(SimWorld world, Predicate<Message> isAffected, String to) {
        world.messageRewriter = (from, host, message) -> {
            if (host.equals(to) && isAffected.test(message)) {
                throw new IllegalStateException("a fault of the test");
            }
            return message;
        };
    }

    private static void assertContained(SimWorld world) {
        assertThat(world.violations, is(not(empty())));
        assertThat(world.violations, everyItem(containsString("TASK_COMPLETED")));
    }

    /** Guards against a failure after a change is chosen, by which its caller and those behind it get no answer. */
    @ParameterizedTest
    @EnumSource(
            value = FaultyOrderHandling.class,
            names = {"THROWS_WHEN_REVISION_2_IS_CHOSEN", "OVERFLOWS_WHEN_REVISION_2_IS_CHOSEN"})
    void failingListenerDelaysNoAnswer(FaultyOrderHandling faulty) {
        SimWorld world = new SimWorld(1);
        world.controlNodeFactory = faulty::node;
        world.withNodes(3, 0).startAll();
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
        world.run(1000);
        SimMachine node = world.controlNodes.get(0);
        List<Integer> statuses = new ArrayList<>();
        SimOperator.replace(node, 1, SimOperator.config(2), reply -> statuses.add(reply.status()));
        SimOperator.replace(node, 2, SimOperator.config(3), reply -> statuses.add(reply.status()));
        world.run(1000);
        assertThat(statuses, is(List.of(200, 200)));
        assertContained(world);
    }

    /** Guards against an operator's answer that cannot be sent and by which those behind it get none. */
    @Test
    void failingAnswerDelaysNoOther() {
        SimWorld world = new SimWorld(2).withNodes(3, 0).startAll();
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
        SimMachine node = world.controlNodes.get(0);
        List<Integer> statuses = new ArrayList<>();
        SimOperator.replace(node, 1, SimOperator.config(2), reply -> {
            throw new IllegalStateException("a fault of the test");
        });
        node.controlNode().readConfiguration(reply -> {
            throw new StackOverflowError("a fault of the test");
        });
        node.controlNode().readConfiguration(reply -> statuses.add(reply.status()));
        SimOperator.replace(node, 2, SimOperator.config(3), reply -> statuses.add(reply.status()));
        world.run(1000);
        assertThat(statuses, is(List.of(200, 200)));
        assertContained(world);
    }

    /** Guards against a failure in an acceptor's reply, after which it never wrote a vote again. */
    @Test
    void failingReplyDoesNotStopAnAcceptor() {
        SimWorld world = new SimWorld(3).withNodes(3, 0).startAll();
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
        world.run(2000);
        SimMachine node = world.controlNodes.get(0);
        world.controlNodes.get(2).powerOff(); // so that the votes of the other two are needed
        node.syncNanos = 100_000_000; // so that its own promise, once written, is the last one that its ballot needs
        failToSend(world, Accept.class::isInstance, world.controlNodes.get(1).host);
        SimOperator.replace(node, 1, SimOperator.config(2), reply -> {});
        world.runUntil(1000, () -> !world.violations.isEmpty());
        failToSend(world, message -> false, "");
        world.run(4000);
        long base = AgreementTest.revision(SimOperator.read(world, world.controlNodes.get(1)));
        assertThat(SimOperator.replace(world, node, base, SimOperator.config(3)), is(200));
        assertContained(world);
    }

    /** Guards against a proxy that cannot be sent its news and by which the others get none. */
    @Test
    void failingPublicationDelaysNoOther() {
        SimWorld world = SimOperator.servingCluster(4, 3, 3);
        failToSend(world, ConfigurationChange.class::isInstance, world.proxies.get(0).host);
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 1, SimOperator.config(2), 5000));
        world.run(3000);
        for (SimMachine proxy : world.proxies.subList(1, 3)) {
            assertThat(proxy.proxy().revision(), is(2L));
        }
        failToSend(world, message -> false, "");
        world.run(3000);
        assertThat(world.proxies.get(0).proxy().revision(), is(2L));
        assertContained(world);
    }

    /** Guards against a list of instances that is never read again after one call has failed. */
    @Test
    void failingListCallIsRepeated() {
        SimWorld world = new SimWorld(5);
        int[] lists = new int[1];
        world.controlNodeFactory = (environment, settings, platform, records) -> {
            Platform failing = (Platform) Proxy.newProxyInstance(
                    Platform.class.getClassLoader(), new Class<?>[] {Platform.class}, (proxy, method, arguments) -> {
                        if (method.getName().equals("listInstances") && ++lists[0] == 3) {
                            throw new IllegalStateException("a fault of the test");
                        }
                        return method.invoke(platform, arguments);
                    });
            return new ControlNode(environment, settings, failing, records);
        };
        world.withNodes(1, 0).startAll();
        assertThrows(IllegalStateException.class, () -> world.run(5000));
        world.run(5000);
        assertThat(lists[0], is(greaterThan(4)));
    }

    /** Guards against a proxy that, after one failure when it goes on from a pause, does no periodic work any more. */
    @Test
    void failureAfterAPauseDoesNotEndThePeriodicWork() {
        SimWorld world = SimOperator.servingCluster(6, 3, 6);
        Map<String, Integer> cancelsFrom = new HashMap<>();
        world.sendObserver = (from, to, message) -> {
            if (message instanceof SlotRequest && cancelsFrom.putIfAbsent(from, 0) == null) {
                world.schedule(0, world.machines.get(from)::freeze); // with requests that wait for the owner
            }
        };
        world.messageRewriter = (from, to, message) -> {
            if (message instanceof SlotCancel
                    && cancelsFrom.containsKey(from)
                    && cancelsFrom.merge(from, 1, Integer::sum) == 1) {
                throw new IllegalStateException("a fault of the test");
            }
            return message;
        };
        for (SimMachine proxy : world.proxies) {
            for (int i = 0; i < 3; i++) {
                world.platform.call(proxy, "h.example", "/a/1", 20_000);
            }
        }
        world.run(3000);
        world.proxies.stream().filter(proxy -> proxy.frozen).forEach(SimMachine::thaw);
        world.run(500);
        for (String host : cancelsFrom.keySet()) {
            assertThat("requests made again by " + host, cancelsFrom.get(host), is(greaterThan(1)));
        }
        world.run(20_000);
        world.platform.calls.forEach(call -> assertThat("answers", call.answers.size(), is(1)));
        assertContained(world);
    }
}
