package saltdale.rig.platform.live;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.protocol.Head;
import saltdale.rig.platform.Instance;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Platform;
import saltdale.rig.standin.Exchange;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Listener;
import saltdale.transport.Timer;

/** The runners' sockets; used on the loop. */
final class Runners implements Platform.Sockets {
    private static final Duration EXTRA_AFTER = Duration.ofMillis(5);
    private static final byte[] GARBAGE = "\u0001\u0002 no answer\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final class Place {
        final Listener listener;
        final Set<Served> open = new HashSet<>();

        Place(Listener listener) {
            this.listener = listener;
        }
    }

    private final LoopThread loopThread;
    private final Origin origin;
    private final Judge judge;
    private final Faults faults;
    private final SplittableRandom chance;
    private final Map<Instance, Place> places = new HashMap<>();
    private long runs;

    Runners(LoopThread loopThread, Origin origin, Judge judge, Faults faults, long seed) {
        this.loopThread = loopThread;
        this.origin = origin;
        this.judge = judge;
        this.faults = faults;
        chance = new SplittableRandom(seed);
    }

    @Override
    public void listen(Instance instance) {
        try {
            places.put(
                    instance,
                    new Place(new Listener(
                            loopThread.loop,
                            loopThread.sockets,
                            Address.parse(instance.address),
                            (connection, full) -> places.get(instance).open.add(new Served(connection, instance)))));
        } catch (IOException e) {
            throw new UncheckedIOException("a runner can't listen at " + instance.address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void cease(Instance instance) {
        shut(places.get(instance));
        for (Served each : List.copyOf(places.get(instance).open)) {
            if (!each.isWorking()) {
                each.drop(false);
            }
        }
    }

    @Override
    public void crash(Instance instance) {
        Place place = places.remove(instance);
        if (place != null) {
            shut(place);
            List.copyOf(place.open).forEach(each -> each.drop(true));
        }
    }

    private static void shut(Place place) {
        try {
            place.listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A connection that a runner serves. */
    private final class Served extends Exchange {
        private final Instance instance;
        private Timer work;

        Served(Connection connection, Instance instance) {
            super(connection, origin);
            this.instance = instance;
        }

        boolean isWorking() {
            return work != null;
        }

        void drop(boolean reset) {
            forget();
            if (reset) {
                connection.reset();
            } else {
                connection.close();
            }
            stopWork();
        }

        private void forget() {
            Place place = places.get(instance);
            if (place != null) {
                place.open.remove(this);
            }
        }

        private void stopWork() {
            if (work != null) {
                work.cancel();
                work = null;
                instance.worked();
            }
        }

        /** A runner drops a request once its connection closes. */
        @Override
        public void disconnected(String cause) {
            forget();
            stopWork();
        }

        @Override
        protected void unreadable() {
            drop(true);
        }

        @Override
        protected void requested(Head head, byte[] body, Duration first) {
            Duration now = origin.now();
            String id = head.uniqueHeader("X-Saltdale-Attempt-Id");
            Duration remaining = millis(head.header("X-Saltdale-Deadline-Remaining"));
            Instance.Admission admission = instance.admit(id, head.header("X-Saltdale-Expected-Runner"), remaining);
            if (!admission.runs()) {
                if (admission.full()) {
                    judge.turnedAway(now, instance.service.name());
                }
                say(answer(admission.status(), headers(id) + "X-Saltdale-Not-Executed: 1\r\n", ""));
                return;
            }
            String seal =
                    Long.toHexString(++runs) + "." + instance.identifier + "." + Integer.toHexString(chance.nextInt());
            Duration takes = Duration.ofNanos(
                    (long) (instance.service.work().toNanos() * instance.slowness * chance.nextDouble(0.5, 1.5)));
            boolean inTime = remaining == null || takes.compareTo(remaining) < 0;
            Faults.Kind fault = faults.draw();
            judge.ran(
                    now,
                    id,
                    instance.service.name(),
                    seal,
                    head.method() + " " + head.target() + " " + new String(body, StandardCharsets.UTF_8),
                    inTime);
            if (fault != Faults.Kind.NONE && fault != Faults.Kind.EXTRA) {
                judge.spoils(id);
            }
            work = loopThread.loop.schedule(inTime ? takes : remaining, () -> {
                work = null;
                if (inTime) {
                    byte[] answer = answer(
                            200,
                            headers(id) + "X-Saltdale-Runner-Seal: " + seal + "\r\n",
                            new String(Judge.body(seal), StandardCharsets.US_ASCII));
                    say(answer, fault);
                } else {
                    say(answer(504, headers(id), "")); // counts as run
                }
                instance.worked();
            });
        }

        private void say(byte[] answer, Faults.Kind fault) {
            switch (fault) {
                case LOST -> end();
                case GARBLED -> {
                    connection.send(ByteBuffer.wrap(GARBAGE));
                    end();
                }
                case CUT -> {
                    connection.send(ByteBuffer.wrap(answer, 0, answer.length / 2));
                    end();
                }
                case EXTRA -> {
                    say(answer);
                    loopThread.loop.schedule(EXTRA_AFTER, () -> connection.send(ByteBuffer.wrap(answer)));
                }
                default -> say(answer);
            }
        }

        private void say(byte[] answer) {
            connection.send(ByteBuffer.wrap(answer));
            answered();
            if (instance.isLeaving()) {
                end();
            }
        }

        private void end() {
            connection.closeGracefully();
            forget();
        }

        private String headers(String id) {
            return (id == null ? "" : "X-Saltdale-Attempt-Id: " + id + "\r\n")
                    + (instance.isLeaving() ? "Connection: close\r\n" : "");
        }
    }

    /** A header's whole milliseconds; null where it is absent or none. */
    static Duration millis(String text) {
        return text != null && text.matches("\\d{1,9}") ? Duration.ofMillis(Long.parseLong(text)) : null;
    }
}
