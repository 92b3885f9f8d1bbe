package saltdale.rig.platform.live;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltdale.rig.platform.Machine;

/**
 * An operator of a soak: changes the configuration without pause, loses half of the answers and sends the same again to
 * another control node; reads what is in force now and then. Two of them race on the same base.
 */
final class SoakOperator implements Runnable {
    private static final Duration LIMIT = Duration.ofSeconds(1);
    private static final double LOST = 0.5; // of the answers
    private static final double INVALID = 0.05; // of the orders
    private static final int MOST_TRIES = 60;
    private static final int LONGEST_PAUSE_MILLIS = 400;
    private static final Pattern REVISION = Pattern.compile("\"revision\":(\\d+)");

    private final SoakCluster cluster;
    private final SoakOrders orders;
    private final String name;
    private final SplittableRandom chance;
    private volatile boolean over;

    SoakOperator(SoakCluster cluster, SoakOrders orders, String name, long seed) {
        this.cluster = cluster;
        this.orders = orders;
        this.name = name;
        chance = new SplittableRandom(seed);
    }

    void end() {
        over = true;
    }

    @Override
    public void run() {
        int number = 0;
        while (!over) {
            boolean isValid = chance.nextDouble() >= INVALID;
            send(orders.next(chance.nextInt(1000), name + "-" + number++, isValid));
            pause(LONGEST_PAUSE_MILLIS);
            if (chance.nextInt(3) == 0) {
                read();
            }
        }
    }

    private void pause(int mostMillis) {
        try {
            Thread.sleep(1 + chance.nextInt(mostMillis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            over = true;
        }
    }

    private Machine any() {
        List<Machine> all = cluster.controlNodes();
        return all.get(chance.nextInt(all.size()));
    }

    private void send(SoakOrders.Order order) {
        for (int tries = 0; tries < MOST_TRIES && !over; tries++) {
            Machine at = any();
            PlainHttp.Answer answer = PlainHttp.call(
                    at.ip(),
                    Machine.CONTROL,
                    "POST",
                    "/Configuration.Replace",
                    "Host: core\r\nX-Saltdale-Based-On-Version: " + order.base() + "\r\n",
                    order.body(),
                    LIMIT);
            // What was answered counts even where the operator loses it and asks again.
            if (answer.status() == 200) {
                orders.acknowledged(order, at.name());
            } else if (answer.status() / 100 == 4) {
                orders.refused(order, answer.status(), at.name());
            }
            boolean clear = answer.status() == 200 || answer.status() / 100 == 4;
            if (clear && chance.nextDouble() >= LOST) {
                if (answer.status() == 412) {
                    read();
                }
                return;
            }
            orders.sentAgain();
            pause(LONGEST_PAUSE_MILLIS / 2);
        }
    }

    private void read() {
        Machine at = any();
        long least = orders.newest();
        PlainHttp.Answer answer =
                PlainHttp.call(at.ip(), Machine.CONTROL, "GET", "/Configuration.Read", "Host: core\r\n", "", LIMIT);
        if (answer.status() == 200) {
            orders.read(revision(answer.body()), answer.body(), least, at.name());
        }
    }

    /** The revision of a configuration as text; -1 where it has none. */
    static long revision(String body) {
        Matcher found = REVISION.matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : -1;
    }
}
