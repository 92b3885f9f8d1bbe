package saltdale.proxy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One operator among several. It builds on the newest revision that it read, goes on to another control node after a
 * second of silence, loses some answers, and sends orders again that were acknowledged long before.
 */
final class OrderingOperator {
    private static final long SILENCE = 1_000_000_000;

    private final SimWorld world;
    private final OrdersModel model;
    private final int number;
    private final List<OrdersModel.Order> done = new ArrayList<>(); // with a clear answer that came
    private OrdersModel.Order order;
    private int turn; // counts steps, so that a late answer does not begin another
    private boolean over;

    OrderingOperator(SimWorld world, OrdersModel model, int number) {
        this.world = world;
        this.model = model;
        this.number = number;
    }

    void over() {
        over = true;
    }

    void next() {
        int mine = ++turn;
        world.schedule(world.random.nextInt(250) * 1_000_000L, () -> {
            SimMachine at = world.controlNodes.get(world.random.nextInt(world.controlNodes.size()));
            if (over || mine != turn) {
                return;
            } else if (at.process == null) {
                next();
                return;
            }
            world.schedule(SILENCE, () -> goOn(mine));
            if (order == null && !done.isEmpty() && world.random.nextInt(4) == 0) {
                order = done.get(world.random.nextInt(done.size()));
            }
            if (order == null) {
                look(at, mine);
            } else {
                send(at, mine);
            }
        });
    }

    private void goOn(int of) {
        if (of == turn) {
            next();
        }
    }

    private void look(SimMachine at, int mine) {
        at.process.deliver(() -> at.controlNode().readConfiguration(reply -> {
            if (reply.status() == 200 && mine == turn) {
                order = draw(AgreementTest.revision(new String(reply.body(), StandardCharsets.UTF_8)));
            }
            goOn(mine);
        }));
    }

    /** Pairs of operators send equal bodies at times, and all pick the same numbers at times. */
    private OrdersModel.Order draw(long base) {
        // An order whose revision does not rise is invalid.
        long revision = base > 0 && world.random.nextInt(16) == 0 ? base : base + 1 + world.random.nextInt(2);
        if (base > 0 && world.random.nextInt(3) == 0) {
            return OrdersModel.Order.amend(base, revision, "m" + number);
        }
        return OrdersModel.Order.replace(base, revision, number / 2);
    }

    private void send(SimMachine at, int mine) {
        OrdersModel.Order sent = order;
        byte[] body = sent.body().getBytes(StandardCharsets.UTF_8);
        at.process.deliver(() -> at.controlNode()
                .changeConfiguration(sent.amends(), Long.toString(sent.base()), body, reply -> {
                    model.answered(sent, reply.status());
                    boolean lost = world.random.nextInt(3) == 0;
                    if (mine == turn && !lost) {
                        if (reply.status() != 503) {
                            done.add(sent);
                            order = null;
                        }
                        goOn(mine);
                    }
                }));
    }
}
