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
import saltdale.control.ControlNode;
import saltdale.control.FaultyOrderHandling;
import saltdale.control.RememberedOrders;
import saltdale.control.message.BallotMessage;
import saltdale.control.message.Message;

/**
 * Operators' orders: one is taken on each base, whoever sends it, and one that was taken is acknowledged again or left
 * without a clear answer, never refused.
 */
class ConfigurationOrdersTest {
    private static final int OPERATORS = 8; // that many orders may be under way at once

    private static SimWorld world(long seed, int controlNodes, SimWorld.ControlNodeFactory factory) {
        SimWorld world = new SimWorld(seed);
        world.controlNodeFactory = factory;
        return world.withNodes(controlNodes, 0).startAll();
    }

    /** Eight operators and troubles of all kinds; gives the model that judged them. */
    private static OrdersModel day(SimWorld world, int wipes) {
        OrdersModel model = new OrdersModel(world);
        SimTroubles troubles = new SimTroubles(world, wipes);
        List<OrderingOperator> operators = IntStream.range(0, OPERATORS)
                .mapToObj(i -> new OrderingOperator(world, model, i))
                .toList();
        operators.forEach(OrderingOperator::next);
        world.run(2500);
        for (int i = 0; i < 4; i++) {
            troubles.strike();
            world.run(world.random.nextInt(400));
            troubles.strike();
            world.run(world.random.nextInt(2500));
            troubles.heal();
            world.run(world.random.nextInt(2000));
        }
        world.run(4000);
        operators.forEach(OrderingOperator::over);
        world.run(4000);
        model.over();
        return model;
    }

    @ParameterizedTest
    @CsvSource({"3,1,0,40", "5,2,1000,16"})
    void oneOrderIsTakenOnEachBaseAndNoneThatWasTakenIsRefused(int controlNodes, int wipes, int from, int seeds) {
        int clear = 0;
        for (int seed = from; seed < from + seeds; seed++) {
            SimWorld world = world(seed, controlNodes, ControlNode::new);
            clear += day(world, wipes).clearAnswers;
            assertThat("seed " + seed, world.violations, is(empty()));
        }
        assertThat("enough was answered to tell", clear, greaterThan(20 * seeds));
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultyOrderHandling.class,
            names = {"ACKNOWLEDGES_BEFORE_CHOSEN", "REFUSES_BEFORE_CHOSEN", "CHECKS_CONTENT_FIRST"})
    void theModelFindsWrongVariants(FaultyOrderHandling wrong) {
        List<String> found = new ArrayList<>();
        String fault = faultOf(wrong);
        for (int seed = 0; seed < 30 && found.stream().noneMatch(each -> each.contains(fault)); seed++) {
            SimWorld world = world(seed, 3, wrong::node);
            day(world, 1);
            found.addAll(world.violations);
        }
        assertThat(found, hasItem(containsString(fault)));
    }

    private static String faultOf(FaultyOrderHandling wrong) {
        return switch (wrong) {
            case ACKNOWLEDGES_BEFORE_CHOSEN -> "acknowledged and not chosen";
            case REFUSES_BEFORE_CHOSEN -> "refused with 412 on top of the newest revision";
            case CHECKS_CONTENT_FIRST -> "refused with 400 though it was taken";
            case FORGETS_AFTER_64 -> "refused with 412 though it was taken";
        };
    }

    /** What befalls the control node that runs the ballot. */
    private enum Blow {
        STANDS_STILL,
        KILLED,
        LOSES_POWER,
        CUT_OFF,
        ALL_LOSE_POWER;

        void strike(SimWorld world, SimMachine at) {
            switch (this) {
                case STANDS_STILL -> at.freeze();
                case KILLED -> at.kill();
                case LOSES_POWER -> at.powerOff();
                case CUT_OFF -> world.isolate(at);
                case ALL_LOSE_POWER -> world.controlNodes.forEach(SimMachine::powerOff);
            }
        }
    }

    /** Strikes when this message of a ballot is sent, the first being 1. */
    private static void strikeAt(SimWorld world, SimMachine at, Blow blow, int message) {
        Consumer<Message> model = world.messageObserver;
        int[] seen = new int[1];
        world.messageObserver = sent -> {
            model.accept(sent);
            if (sent instanceof BallotMessage && ++seen[0] == message) {
                world.schedule(0, () -> blow.strike(world, at));
            }
        };
    }

    private static void send(OrdersModel model, SimMachine at, OrdersModel.Order order, List<Integer> clear) {
        if (at.process != null) {
            SimOperator.replace(at, order.base(), order.body(), reply -> {
                model.answered(order, reply.status());
                if (reply.status() != 503) {
                    clear.add(reply.status());
                }
            });
        }
    }

    /**
     * One operator's control node is struck at each message of the ballot in turn; after a second of silence the
     * operator goes on to another, while a second operator sends an order of the same number to the third.
     */
    @ParameterizedTest
    @EnumSource(Blow.class)
    void anOrderCutShortAtAnyMessageIsSentAgainElsewhere(Blow blow) {
        for (int message = 1; message <= 14; message++) {
            for (int seed = 0; seed < 3; seed++) {
                SimWorld world = world(100 * message + seed, 3, ControlNode::new);
                OrdersModel model = new OrdersModel(world);
                world.run(2500);
                assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
                List<SimMachine> nodes = world.controlNodes;
                OrdersModel.Order one = OrdersModel.Order.replace(1, 3, 0);
                OrdersModel.Order other = seed == 0 ? one : OrdersModel.Order.replace(1, 3, 1);
                strikeAt(world, nodes.get(0), blow, message);
                List<Integer> toOne = new ArrayList<>();
                List<Integer> toOther = new ArrayList<>();
                send(model, nodes.get(0), one, toOne);
                world.schedule(
                        world.random.nextInt(1500) * 1_000_000L, () -> send(model, nodes.get(2), other, toOther));
                world.run(1000);
                send(model, nodes.get(1), one, toOne);
                world.run(3000);
                new SimTroubles(world, 0).heal();
                world.run(3000);
                for (SimMachine each : nodes) {
                    send(model, each, one, toOne);
                    send(model, each, other, toOther);
                }
                world.run(3000);
                model.over();
                String what = blow + " at message " + message + " seed " + seed;
                assertThat(what, world.violations, is(empty()));
                assertThat(what, toOne.contains(200) || toOther.contains(200), is(true));
                assertThat(what, toOne.isEmpty() || toOther.isEmpty(), is(false));
            }
        }
    }

    /**
     * A lost disk brings a change of voters. While it is under way, or right after, one operator's control node is
     * struck in the middle of an order, and another order of the same number comes to a third one.
     */
    @ParameterizedTest
    @CsvSource({"3,false", "3,true", "5,false", "5,true"})
    void oneOrderIsTakenWhileVotersChange(int controlNodes, boolean atAnotherAddress) {
        int joint = 0;
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
            joint += world.isJoint() ? 1 : 0;
            world.run(world.random.nextInt(12));
            OrdersModel.Order one = OrdersModel.Order.replace(1, 3, 0);
            OrdersModel.Order other = seed % 4 == 0 ? one : OrdersModel.Order.replace(1, 3, 1);
            List<Integer> toOne = new ArrayList<>();
            List<Integer> toOther = new ArrayList<>();
            send(model, nodes.get(0), one, toOne);
            world.run(world.random.nextInt(40));
            Blow.values()[seed % Blow.values().length].strike(world, nodes.get(0));
            world.schedule(world.random.nextInt(1500) * 1_000_000L, () -> send(model, nodes.get(2), other, toOther));
            world.run(1000);
            send(model, nodes.get(nodes.size() - 1), one, toOne);
            world.run(3000);
            new SimTroubles(world, 0).heal();
            world.run(4000);
            nodes.forEach(each -> send(model, each, one, toOne));
            nodes.forEach(each -> send(model, each, other, toOther));
            world.run(3000);
            model.over();
            assertThat("seed " + seed, world.violations, is(empty()));
            assertThat("seed " + seed, toOne.contains(200) || toOther.contains(200), is(true));
        }
        assertThat("the change of voters was met", joint, greaterThan(15));
    }

    /** Orders of a long day, numbered one by one; the oldest ones were sent when it began. */
    private static List<OrdersModel.Order> longDay(SimWorld world, OrdersModel model, int changes) {
        List<OrdersModel.Order> orders = new ArrayList<>();
        world.run(2500);
        for (int i = 0; i < changes; i++) {
            OrdersModel.Order order = OrdersModel.Order.replace(i, i + 1, 0);
            orders.add(order);
            SimMachine at = world.controlNodes.get(i % 3);
            assertThat(SimOperator.replace(world, at, order.base(), order.body()), is(200));
            model.answered(order, 200);
        }
        world.controlNodes.forEach(SimMachine::powerOff);
        world.controlNodes.forEach(SimMachine::start);
        world.run(3000);
        return orders;
    }

    private static int sendsAgain(SimWorld world, OrdersModel model, OrdersModel.Order order) {
        SimMachine at = world.controlNodes.get(world.random.nextInt(3));
        int status = SimOperator.replace(world, at, order.base(), order.body());
        model.answered(order, status);
        return status;
    }

    @Test
    void anOrderTakenHundredsOfChangesAgoIsAcknowledgedAgainOrGetsNoClearAnswer() {
        SimWorld world = world(1, 3, ControlNode::new);
        OrdersModel model = new OrdersModel(world);
        int changes = 600;
        int remembered = 512;
        List<OrdersModel.Order> orders = longDay(world, model, changes);
        for (int ago : new int[] {1, 2, 63, 64, 65, 200, 511, 512, 513, 514, 600}) {
            String what = ago + " changes ago";
            OrdersModel.Order taken = orders.get(changes - ago);
            assertThat(what, sendsAgain(world, model, taken), is(ago <= remembered ? 200 : 503));
            OrdersModel.Order lost = OrdersModel.Order.replace(taken.base(), changes + 1, 1);
            assertThat(what, sendsAgain(world, model, lost), is(ago <= remembered ? 412 : 503));
        }
        OrdersModel.Order ahead = OrdersModel.Order.replace(changes + 1, changes + 2, 0);
        assertThat("on a base that is not there yet", sendsAgain(world, model, ahead), is(412));
        model.over();
        assertThat(world.violations, is(empty()));
        // A digest of six bytes, and one for the step to the next revision.
        assertThat(RememberedOrders.bytes(world.newestChosen), is(7 * remembered));
    }

    @Test
    void revisionsMayBeTimesInNanoseconds() {
        SimWorld world = world(1, 3, ControlNode::new);
        OrdersModel model = new OrdersModel(world);
        world.run(2500);
        long base = 0;
        for (int i = 0; i < 5; i++) {
            long revision = 1_790_000_000_000_000_001L + i * 333_333_333L;
            OrdersModel.Order order = OrdersModel.Order.replace(base, revision, 0);
            assertThat(sendsAgain(world, model, order), is(200));
            assertThat(sendsAgain(world, model, order), is(200));
            base = revision;
        }
        model.over();
        assertThat(world.violations, is(empty()));
    }

    @Test
    void theModelFindsAMemoryOf64Orders() {
        SimWorld world = world(1, 3, FaultyOrderHandling.FORGETS_AFTER_64::node);
        OrdersModel model = new OrdersModel(world);
        List<OrdersModel.Order> orders = longDay(world, model, 100);
        sendsAgain(world, model, orders.get(10));
        assertThat(world.violations, hasItem(containsString(faultOf(FaultyOrderHandling.FORGETS_AFTER_64))));
    }

    /** One control node is down, loses its disk, comes back, and gives its place to another machine for good. */
    @Test
    void thousandsOfChangesDoNotMakeTheRecordsGrow() {
        SimWorld world = world(3, 3, ControlNode::new);
        world.run(2500);
        SimMachine third = world.controlNodes.get(2);
        int text = SimOperator.config(9999, 5).length();
        int most = 0;
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
            for (SimMachine each : world.controlNodes) {
                most = Math.max(most, recordBytes(each));
            }
        }
        world.run(3000);
        assertThat(
                "the new one votes",
                world.voters(),
                hasItem(world.controlNodes.get(3).id()));
        assertThat("one text, one state", most, lessThanOrEqualTo(text + 7 * 512 + 1500));
        assertThat(world.violations, is(empty()));
    }

    private static int recordBytes(SimMachine of) {
        return of.synced.entrySet().stream()
                .mapToInt(record -> record.getKey().length() + record.getValue().length)
                .sum();
    }
}
