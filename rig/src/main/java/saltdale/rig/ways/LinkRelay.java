package saltdale.rig.ways;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.standin.LoopThread;
import saltdale.transport.Connection;
import saltdale.transport.Timer;

/**
 * A relay between an address and the one behind it, through which as much passes as is set. What is cut off stays
 * with the sender's kernel, as on a network that loses packets, and comes when the way is whole again. Used on
 * the loop; what it holds is bounded.
 */
public final class LinkRelay {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);
    private static final Duration STEP = Duration.ofMillis(20); // of a slow way
    private static final int MOST_HELD = 1 << 18; // bytes a lane, then the sender waits

    private final LoopThread loopThread;
    private final InetSocketAddress behind;
    private final boolean outward;
    private final SplittableRandom chance;
    private final SwitchableListener mouth;
    private final Set<RelayedConnection> strands = new LinkedHashSet<>();
    private LinkCondition condition = LinkCondition.CLEAR;

    /** {@code outward}: whether who connects is the dispatcher, so that its bytes go to the runner. */
    public LinkRelay(
            LoopThread loopThread,
            InetSocketAddress at,
            InetSocketAddress behind,
            boolean outward,
            SplittableRandom chance)
            throws IOException {
        this.loopThread = loopThread;
        this.behind = behind;
        this.outward = outward;
        this.chance = chance;
        mouth = new SwitchableListener(loopThread, at, (connection, full) -> new RelayedConnection(connection));
    }

    public LinkCondition condition() {
        return condition;
    }

    /** From now on this passes. */
    public void setCondition(LinkCondition next) {
        condition = next;
        if (next.reset()) {
            mouth.shut();
            List.copyOf(strands).forEach(RelayedConnection::reset);
        } else {
            mouth.open();
            mouth.setSilent(next.isUnresponsive());
            List.copyOf(strands).forEach(RelayedConnection::renew);
        }
    }

    /** One connection and the one behind it. */
    private final class RelayedConnection {
        private final Connection near;
        private final Connection far;
        private final Lane there;
        private final Lane back;

        RelayedConnection(Connection near) {
            this.near = near;
            there = new Lane(outward);
            back = new Lane(!outward);
            far = Connection.connect(loopThread.loop, loopThread.sockets, behind, CONNECT_LIMIT, back);
            if (far == null) {
                near.setHandler(there);
                near.reset();
                return;
            }
            there.between(near, far);
            back.between(far, near);
            near.setHandler(there);
            strands.add(this);
            renew();
        }

        void reset() {
            strands.remove(this);
            near.reset();
            far.reset();
        }

        void renew() {
            there.renew();
            back.renew();
        }

        private record Part(Duration due, ByteBuffer bytes) {}

        /** What goes one way. */
        private final class Lane implements Connection.Handler {
            private final boolean toRunner;
            private final Deque<Part> parts = new ArrayDeque<>();
            private Connection from;
            private Connection to;
            private Timer timer;
            private Duration lastDue = Duration.ZERO;
            private int held;
            private boolean opened;
            private boolean over;

            Lane(boolean toRunner) {
                this.toRunner = toRunner;
            }

            void between(Connection one, Connection other) {
                from = one;
                to = other;
            }

            private boolean isCut() {
                return toRunner ? condition.blockedToRunner() : condition.blockedFromRunner();
            }

            @Override
            public void opened() {
                opened = true;
            }

            @Override
            public void received(ByteBuffer bytes) {
                ByteBuffer copy =
                        ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
                double late = condition.delaySeconds() * (1 + condition.jitterShare() * chance.nextDouble());
                Duration due = loopThread.loop.now().plusNanos((long) (late * 1e9));
                lastDue = due.compareTo(lastDue) > 0 ? due : lastDue; // in order, as TCP has it
                parts.add(new Part(lastDue, copy));
                held += copy.remaining();
                renew();
            }

            @Override
            public void disconnected(String cause) {
                over = true;
                if (this == back && !opened) { // nobody is there: what connected is told so
                    RelayedConnection.this.reset();
                    return;
                }
                pump();
            }

            void renew() {
                if (!over) {
                    from.setReadEnabled(!isCut() && held < MOST_HELD);
                }
                pump();
            }

            private void pump() {
                if (timer != null) {
                    timer.cancel();
                    timer = null;
                }
                Duration now = loopThread.loop.now();
                while (!isCut() && !parts.isEmpty()) {
                    Part next = parts.peek();
                    if (next.due.compareTo(now) > 0) {
                        timer = loopThread.loop.schedule(next.due.minus(now), this::pump);
                        return;
                    } else if (condition.bytesPerSecond() > 0) {
                        trickle(next);
                        return;
                    }
                    parts.poll();
                    send(next.bytes);
                }
                if (parts.isEmpty() && over) {
                    strands.remove(RelayedConnection.this);
                    if (this == there && !back.opened) {
                        to.close(); // it has gone before the one behind was reached
                    } else {
                        to.closeGracefully();
                    }
                }
            }

            private void trickle(Part next) {
                double gap = Math.max(STEP.toNanos() / 1e9, 1 / condition.bytesPerSecond());
                int many = Math.min(next.bytes.remaining(), Math.max(1, (int) (condition.bytesPerSecond() * gap)));
                byte[] some = new byte[many];
                next.bytes.get(some);
                if (!next.bytes.hasRemaining()) {
                    parts.poll();
                }
                send(ByteBuffer.wrap(some));
                timer = loopThread.loop.schedule(Duration.ofNanos((long) (gap * 1e9)), this::renew);
            }

            private void send(ByteBuffer bytes) {
                held -= bytes.remaining();
                to.send(bytes);
            }
        }
    }
}
