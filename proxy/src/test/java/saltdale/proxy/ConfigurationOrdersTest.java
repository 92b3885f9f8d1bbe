package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.control.ControlNode;
import saltdale.control.FaultyOrderHandling;
import saltdale.control.RememberedOrders;
import saltdale.control.message.BallotMessage;
import saltdale.control.message.Message;

/**
 * Concurrent configuration orders: at most one is applied on each base, whichever operator sends it, and an applied
 * order that is resent is acknowledged again or gets no conclusive response; it is never refused.
 */
class ConfigurationOrdersTest {
    private static final int OPERATOR_COUNT = 8; // the number of orders that may be in progress at once

    private static SimWorld world(long seed, int controlNodes, SimWorld.ControlNodeFactory factory) {
        SimWorld world = new SimWorld(seed);
        world.controlNodeFactory = factory;
        return world.withNodes(controlNodes, 0).startAll();
    }

    /** Runs all operators under faults of all kinds; returns the model that checked their orders. */
    private static OrdersModel runOperatorsUnderFaults(SimWorld world, int simultaneousDiskLosses) {
        OrdersModel model = new OrdersModel(world);
        SimFaultInjector faults = new SimFaultInjector(world, simultaneousDiskLosses);
        List<OrderingOperator> operators = IntStream.range(0, OPERATOR_COUNT)
                .mapToObj(i -> new OrderingOperator(world, model, i))
                .toList();
        operators.forEach(OrderingOperator::scheduleNextStep);
        world.run(2500);
        for (int i = 0; i < 4; i++) {
            faults.injectFault();
            world.run(world.random.nextInt(400));
            faults.injectFault();
            world.run(world.random.nextInt(2500));
            faults.repairAll();
            world.run(world.random.nextInt(2000));
        }
        world.run(4000);
        operators.forEach(OrderingOperator::stop);
        world.run(4000);
        model.checkFinalState();
        return model;
    }

    @ParameterizedTest
    @CsvSource({"3,1,0,40", "5,2,1000,16"})
    void appliesOneOrderPerBaseAndRefusesNoAppliedOrder(
            int controlNodes, int simultaneousDiskLosses, int from, int seeds) {
        int conclusive = 0;
        for (int seed = from; seed < from + seeds; seed++) {
            SimWorld world = world(seed, controlNodes, ControlNode::new);
            conclusive += runOperatorsUnderFaults(world, simultaneousDiskLosses).conclusiveResponses;
            assertThat("seed " + seed, world.violations, is(empty()));
        }
        assertThat("number of conclusive responses", conclusive, greaterThan(20 * seeds));
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultyOrderHandling.class,
            names = {"ACKNOWLEDGES_BEFORE_CHOSEN", "REFUSES_BEFORE_CHOSEN", "CHECKS_CONTENT_FIRST"})
    void modelDetectsFaultyOrderHandling(FaultyOrderHandling faulty) {
        List<String> found = new ArrayList<>();
        String fault = violationCausedBy(faulty);
        for (int seed = 0; seed < 30 && found.stream().noneMatch(violation -> violation.contains(fault)); seed++) {
            SimWorld world = world(seed, 3, faulty::node);
            runOperatorsUnderFaults(world, 1);
            found.addAll(world.violations);
        }
        assertThat(found, hasItem(containsString(fault)));
    }

    private static String violationCausedBy(FaultyOrderHandling faulty) {
        return switch (faulty) {
            case ACKNOWLEDGES_BEFORE_CHOSEN -> "acknowledged but not chosen";
            case REFUSES_BEFORE_CHOSEN -> "refused with 412 on top of the newest revision";
            case CHECKS_CONTENT_FIRST -> "refused with 400 although it was applied";
            case THROWS_ON_REVISION_2 -> "CHANGE_COMPUTED";
            case THROWS_WHEN_REVISION_2_IS_CHOSEN, OVERFLOWS_WHEN_REVISION_2_IS_CHOSEN -> "TASK_COMPLETED";
            case FORGETS_AFTER_64 -> "refused with 412 although it was applied";
        };
    }

    /** A fault of the control node that runs the ballot. */
    private enum ControlNodeFault {
        FREEZES,
        KILLED,
        LOSES_POWER,
        IS_ISOLATED,
        ALL_LOSE_POWER;

        void inject(SimWorld world, SimMachine at) {
            switch (this) {
                case FREEZES -> at.freeze();
                case KILLED -> at.kill();
                case LOSES_POWER -> at.powerOff();
                case IS_ISOLATED -> world.isolate(at);
                case ALL_LOSE_POWER -> world.controlNodes.forEach(SimMachine::powerOff);
            }
        }
    }

    /** Injects the fault when the given message of a ballot is sent, counted from 1. */
    private static void injectAtMessage(SimWorld world, SimMachine at, ControlNodeFault fault, int message) {
        Consumer<Message> model = world.messageObserver;
        int[] ballotMessages = new int[1];
        world.messageObserver = sent -> {
            model.accept(sent);
            if (sent instanceof BallotMessage && ++ballotMessages[0] == message) {
                world.schedule(0, () -> fault.inject(world, at));
            }
        };
    }

    private static void send(OrdersModel model, SimMachine at, OrdersModel.Order order, List<Integer> conclusive) {
        if (at.process != null) {
            SimOperator.replace(at, order.base(), order.body(), reply -> {
                model.recordResponse(order, reply.status());
                if (reply.status() != 503) {
                    conclusive.add(reply.status());
                }
            });
        }
    }

    /**
     * The control node of one operator fails at each message of the ballot in turn. After one second without a
     * response the operator retries at another control node, while a second operator sends an order with the same
     * revision to the third.
     */
    @ParameterizedTest
    @EnumSource(ControlNodeFault.class)
    void orderInterruptedAtAnyMessageCanBeRetriedElsewhere(ControlNodeFault fault) {
        for (int message = 1; message <= 14; message++) {
            for (int seed = 0; seed < 3; seed++) {
                SimWorld world = world(100 * message + seed, 3, ControlNode::new);
                OrdersModel model = new OrdersModel(world);
                world.run(2500);
                assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
                List<SimMachine> nodes = world.controlNodes;
                OrdersModel.Order first = OrdersModel.Order.replace(1, 3, 0);
                OrdersModel.Order second = seed == 0 ? first : OrdersModel.Order.replace(1, 3, 1);
                injectAtMessage(world, nodes.get(0), fault, message);
                List<Integer> firstStatuses = new ArrayList<>();
                List<Integer> secondStatuses = new ArrayList<>();
                send(model, nodes.get(0), first, firstStatuses);
                world.schedule(
                        world.random.nextInt(1500) * 1_000_000L,
                        () -> send(model, nodes.get(2), second, secondStatuses));
                world.run(1000);
                send(model, nodes.get(1), first, firstStatuses);
                world.run(3000);
                new SimFaultInjector(world, 0).repairAll();
                world.run(3000);
                for (SimMachine controlNode : nodes) {
                    send(model, controlNode, first, firstStatuses);
                    send(model, controlNode, second, secondStatuses);
                }
                world.run(3000);
                model.checkFinalState();
                String context = fault + " at message " + message + " seed " + seed;
                assertThat(context, world.violations, is(empty()));
                assertThat(context, firstStatuses.contains(200) || secondStatuses.contains(200), is(true));
                assertThat(context, firstStatuses.isEmpty() || secondStatuses.isEmpty(), is(false));
            }
        }
    }

    /**
     * The loss of a disk causes a change of voters. During this change, or right after it, the control node of one
     * operator fails in the middle of an order, and another order with the same revision reaches a third control node.
     */
    @ParameterizedTest
    @CsvSource({"3,false", "3,true", "5,false", "5,true"})
    void appliesOneOrderWhileVotersChange(int controlNodes, boolean atAnotherAddress) {
        int runsWithJointVoters = 0;
        for (int seed = 0; seed < 20; seed++) {
            SimWorld world = world(seed, controlNodes, ControlNode::new);
            OrdersModel model = new OrdersModel(world);
            world.run(2500);
            assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
            List<SimMachine> nodes = world.controlNodes;
            SimMachine lost = nodes.get(1);
            lost.wipe();
            if (atAnotherAddress) {
                world.controlNode("10.0.0.9", lost.seeds, false).start();
            } else {
                lost.start();
            }
            world.runUntil(6000, world::isJoint);
            runsWithJointVoters += world.isJoint() ? 1 : 0;
            world.run(world.random.nextInt(12));
            OrdersModel.Order first = OrdersModel.Order.replace(1, 3, 0);
            OrdersModel.Order second = seed % 4 == 0 ? first : OrdersModel.Order.replace(1, 3, 1);
            List<Integer> firstStatuses = new ArrayList<>();
            List<Integer> secondStatuses = new ArrayList<>();
            send(model, nodes.get(0), first, firstStatuses);
            world.run(world.random.nextInt(40));
            ControlNodeFault.values()[seed % ControlNodeFault.values().length].inject(world, nodes.get(0));
            world.schedule(
                    world.random.nextInt(1500) * 1_000_000L, () -> send(model, nodes.get(2), second, secondStatuses));
            world.run(1000);
            send(model, nodes.get(nodes.size() - 1), first, firstStatuses);
            world.run(3000);
            new SimFaultInjector(world, 0).repairAll();
            world.run(4000);
            nodes.forEach(controlNode -> send(model, controlNode, first, firstStatuses));
            nodes.forEach(controlNode -> send(model, controlNode, second, secondStatuses));
            world.run(3000);
            model.checkFinalState();
            assertThat("seed " + seed, world.violations, is(empty()));
            assertThat("seed " + seed, firstStatuses.contains(200) || secondStatuses.contains(200), is(true));
        }
        assertThat("runs in which the change of voters was observed", runsWithJointVoters, greaterThan(15));
    }

    /** Applies {@code changes} orders with consecutive revisions, restarts all control nodes and returns the orders. */
    private static List<OrdersModel.Order> applyOrdersAndRestart(SimWorld world, OrdersModel model, int changes) {
        List<OrdersModel.Order> orders = new ArrayList<>();
        world.run(2500);
        for (int i = 0; i < changes; i++) {
            OrdersModel.Order order = OrdersModel.Order.replace(i, i + 1, 0);
            orders.add(order);
            SimMachine at = world.controlNodes.get(i % 3);
            assertThat(SimOperator.replace(world, at, order.base(), order.body()), is(200));
            model.recordResponse(order, 200);
        }
        world.controlNodes.forEach(SimMachine::powerOff);
        world.controlNodes.forEach(SimMachine::start);
        world.run(3000);
        return orders;
    }

    private static int resend(SimWorld world, OrdersModel model, OrdersModel.Order order) {
        SimMachine at = world.controlNodes.get(world.random.nextInt(3));
        int status = SimOperator.replace(world, at, order.base(), order.body());
        model.recordResponse(order, status);
        return status;
    }

    @Test
    void resentOldOrderIsAcknowledgedAgainOrGetsNoConclusiveResponse() {
        SimWorld world = world(1, 3, ControlNode::new);
        OrdersModel model = new OrdersModel(world);
        int changes = 600;
        int remembered = 512;
        List<OrdersModel.Order> orders = applyOrdersAndRestart(world, model, changes);
        for (int ago : new int[] {1, 2, 63, 64, 65, 200, 511, 512, 513, 514, 600}) {
            String context = ago + " changes ago";
            OrdersModel.Order applied = orders.get(changes - ago);
            assertThat(context, resend(world, model, applied), is(ago <= remembered ? 200 : 503));
            OrdersModel.Order lost = OrdersModel.Order.replace(applied.base(), changes + 1, 1);
            assertThat(context, resend(world, model, lost), is(ago <= remembered ? 412 : 503));
        }
        OrdersModel.Order ahead = OrdersModel.Order.replace(changes + 1, changes + 2, 0);
        assertThat("order on a base that does not exist yet", resend(world, model, ahead), is(412));
        model.checkFinalState();
        assertThat(world.violations, is(empty()));
        // Each entry has a digest of six bytes and one byte for the step to the next revision.
        assertThat(RememberedOrders.bytes(world.newestChosen), is(7 * remembered));
    }

    @Test
    void acceptsTimestampsInNanosecondsAsRevisions() {
        SimWorld world = world(1, 3, ControlNode::new);
        OrdersModel model = new OrdersModel(world);
        world.run(2500);
        long base = 0;
        for (int i = 0; i < 5; i++) {
            long revision = 1_790_000_000_000_000_001L + i * 333_333_333L;
            OrdersModel.Order order = OrdersModel.Order.replace(base, revision, 0);
            assertThat(resend(world, model, order), is(200));
            assertThat(resend(world, model, order), is(200));
            base = revision;
        }
        model.checkFinalState();
        assertThat(world.violations, is(empty()));
    }

    @Test
    void modelDetectsThatOnly64OrdersAreRemembered() {
        SimWorld world = world(1, 3, FaultyOrderHandling.FORGETS_AFTER_64::node);
        OrdersModel model = new OrdersModel(world);
        List<OrdersModel.Order> orders = applyOrdersAndRestart(world, model, 100);
        resend(world, model, orders.get(10));
        assertThat(world.violations, hasItem(containsString(violationCausedBy(FaultyOrderHandling.FORGETS_AFTER_64))));
    }

    /** One control node is down, loses its disk, returns, and is later replaced permanently by another machine. */
    @Test
    void recordSizeStaysBoundedOverManyChanges() {
        SimWorld world = world(3, 3, ControlNode::new);
        world.run(2500);
        SimMachine third = world.controlNodes.get(2);
        int configurationLength = SimOperator.config(9999, 5).length();
        int maxRecordBytes = 0;
        for (int i = 0; i < 1500; i++) {
            if (i == 300) {
                third.powerOff();
            } else if (i == 600) {
                third.wipe();
                third.start();
            } else if (i == 1000) {
                third.powerOff();
                world.controlNode("10.0.0.9", third.seeds, false).start();
            }
            SimMachine at = world.controlNodes.get(i % 2);
            int status = SimOperator.replace(world, at, i, SimOperator.config(i + 1, 5));
            assertThat(
                    "change " + i,
                    status == 200
                            || SimOperator.replaceUntilAcknowledged(world, i, SimOperator.config(i + 1, 5), 9000));
            for (SimMachine controlNode : world.controlNodes) {
                maxRecordBytes = Math.max(maxRecordBytes, recordBytes(controlNode));
            }
        }
        world.run(3000);
        assertThat(
                "the replacement is a voter",
                world.voters(),
                hasItem(world.controlNodes.get(3).id()));
        assertThat(
                "records hold one configuration text and one state",
                maxRecordBytes,
                lessThanOrEqualTo(configurationLength + 7 * 512 + 1500));
        assertThat(world.violations, is(empty()));
    }

    private static int recordBytes(SimMachine machine) {
        return machine.synced.entrySet().stream()
                .mapToInt(record -> record.getKey().length() + record.getValue().length)
                .sum();
    }

    private static final String SERVICES_ONLY = "{\"revision\":1,\"services\":[{\"name\":\"fn\",\"memory_mb\":128}]}";

    /**
     * Guards against an order on a list that the configuration lacks: it was never answered and held up all other calls
     * at its control node.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"set_items\":{\"routes\":[ROUTE]}",
                "\"set_items\":{\"tenants\":[{\"name\":\"t\"}]}",
                "\"remove_names\":{\"routes\":[\"r-1\"]}",
                "\"remove_names\":{\"routes\":[\"r-1\"]},\"set_items\":{\"routes\":[ROUTE]}"
            })
    void amendmentOfAMissingListIsAcknowledged(String lists) {
        SimWorld world = world(7, 3, ControlNode::new);
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SERVICES_ONLY, 5000));
        String route = SimOperator.route("r-2", "/c/", "idempotent", "fn");
        String body = "{\"revision\":2," + lists.replace("ROUTE", route) + "}";
        SimMachine node = world.controlNodes.get(1);
        assertThat(SimOperator.change(world, node, true, "1", body), is(200));
        assertThat(SimOperator.read(world, node).contains("r-2"), is(lists.contains("ROUTE")));
        assertThat(world.violations, is(empty()));
    }

    /** Guards against one call whose handling fails and holds up those behind it until its time limit. */
    @Test
    void failingOrderHoldsUpNoOther() {
        SimWorld world = world(8, 3, FaultyOrderHandling.THROWS_ON_REVISION_2::node);
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
        SimMachine node = world.controlNodes.get(0);
        List<Integer> failing = new ArrayList<>();
        SimOperator.replace(node, 1, SimOperator.config(2), reply -> failing.add(reply.status()));
        long startedAt = world.now();
        assertThat(SimOperator.replace(world, node, 1, SimOperator.config(3)), is(200));
        assertThat((world.now() - startedAt) / 1_000_000, is(lessThanOrEqualTo(1000L)));
        assertThat(failing, is(List.of(503)));
        world.violations.removeIf(violation -> violation.contains("CHANGE_COMPUTED"));
        assertThat(world.violations, is(empty()));
    }
}
