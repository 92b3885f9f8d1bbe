package saltdale.proxy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated operator that changes the configuration concurrently with others. It bases each order on the newest
 * revision that it read, retries at another control node after one second without a response, loses some responses, and
 * resends some orders that were answered long before.
 */
final class OrderingOperator {
    private static final long RESPONSE_TIMEOUT_NANOS = 1_000_000_000;

    private final SimWorld world;
    private final OrdersModel model;
    private final int number;
    private final List<OrdersModel.Order> answered = new ArrayList<>(); // those with a received response other than 503
    private OrdersModel.Order order;
    private int currentStep; // number of the current step; a late response to an earlier step starts no new one
    private boolean stopped;

    OrderingOperator(SimWorld world, OrdersModel model, int number) {
        this.world = world;
        this.model = model;
        this.number = number;
    }

    /** Stops the operator: it begins no further step. */
    void stop() {
        stopped = true;
    }

    /** Begins the next step after a random delay, at a random control node. */
    void scheduleNextStep() {
        int step = ++currentStep;
        world.schedule(world.random.nextInt(250) * 1_000_000L, () -> {
            SimMachine controlNode = world.controlNodes.get(world.random.nextInt(world.controlNodes.size()));
            if (stopped || step != currentStep) {
                return;
            } else if (controlNode.process == null) {
                scheduleNextStep();
                return;
            }
            world.schedule(RESPONSE_TIMEOUT_NANOS, () -> finishStep(step));
            if (order == null && !answered.isEmpty() && world.random.nextInt(4) == 0) {
                order = answered.get(world.random.nextInt(answered.size()));
            }
            if (order == null) {
                readAndDraw(controlNode, step);
            } else {
                send(controlNode, step);
            }
        });
    }

    private void finishStep(int step) {
        if (step == currentStep) {
            scheduleNextStep();
        }
    }

    private void readAndDraw(SimMachine controlNode, int step) {
        controlNode.process.deliver(() -> controlNode.controlNode().readConfiguration(reply -> {
            if (reply.status() == 200 && step == currentStep) {
                order = drawOrder(AgreementTest.revision(new String(reply.body(), StandardCharsets.UTF_8)));
            }
            finishStep(step);
        }));
    }

    /** Draws a new order; pairs of operators sometimes send equal bodies, and all sometimes choose equal revisions. */
    private OrdersModel.Order drawOrder(long base) {
        // An order whose revision is not greater than its base is invalid.
        long revision = base > 0 && world.random.nextInt(16) == 0 ? base : base + 1 + world.random.nextInt(2);
        if (base > 0 && world.random.nextInt(3) == 0) {
            return OrdersModel.Order.amend(base, revision, "m" + number);
        }
        return OrdersModel.Order.replace(base, revision, number / 2);
    }

    private void send(SimMachine controlNode, int step) {
        OrdersModel.Order sent = order;
        byte[] body = sent.body().getBytes(StandardCharsets.UTF_8);
        controlNode.process.deliver(() -> controlNode
                .controlNode()
                .changeConfiguration(sent.amends(), Long.toString(sent.base()), body, reply -> {
                    model.recordResponse(sent, reply.status());
                    boolean lost = world.random.nextInt(3) == 0;
                    if (step == currentStep && !lost) {
                        if (reply.status() != 503) {
                            answered.add(sent);
                            order = null;
                        }
                        finishStep(step);
                    }
                }));
    }
}
