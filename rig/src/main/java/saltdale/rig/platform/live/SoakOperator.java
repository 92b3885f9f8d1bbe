package saltdale.rig.platform.live;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltdale.rig.platform.Machine;

/**
 * An operator of a soak: changes the configuration all the time, loses half of the answers and resends the
 * change to another control node, and reads the configuration in force from time to time. Two operators race on
 * the same base revision.
 */
final class SoakOperator implements Runnable {
    private static final Duration CALL_LIMIT = Duration.ofSeconds(1);
    private static final double LOST_ANSWER_SHARE = 0.5;
    private static final double INVALID_CHANGE_SHARE = 0.05;
    private static final int MAX_TRIES = 60;
    private static final int MAX_PAUSE_MILLIS = 400;
    private static final Pattern REVISION = Pattern.compile("\"revision\":(\\d+)");

    private final SoakCluster cluster;
    private final SoakChanges changes;
    private final String name;
    private final SplittableRandom random;
    private volatile boolean stopped;

    SoakOperator(SoakCluster cluster, SoakChanges changes, String name, long seed) {
        this.cluster = cluster;
        this.changes = changes;
        this.name = name;
        random = new SplittableRandom(seed);
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        int number = 0;
        while (!stopped) {
            boolean isValid = random.nextDouble() >= INVALID_CHANGE_SHARE;
            send(changes.next(random.nextInt(1000), name + "-" + number++, isValid));
            pause(MAX_PAUSE_MILLIS);
            if (random.nextInt(3) == 0) {
                read();
            }
        }
    }

    private void pause(int maxMillis) {
        try {
            Thread.sleep(1 + random.nextInt(maxMillis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped = true;
        }
    }

    private Machine randomControlNode() {
        List<Machine> all = cluster.controlNodes();
        return all.get(random.nextInt(all.size()));
    }

    private void send(SoakChanges.Change change) {
        for (int tries = 0; tries < MAX_TRIES && !stopped; tries++) {
            Machine at = randomControlNode();
            BlockingHttp.Answer answer = BlockingHttp.call(
                    at.ip(),
                    Machine.CONTROL_PORT,
                    "POST",
                    "/Configuration.Replace",
                    "Host: core\r\nX-Saltdale-Based-On-Version: " + change.base() + "\r\n",
                    change.body(),
                    CALL_LIMIT);
            // An answer counts even if the operator loses it and resends the change.
            if (answer.status() == 200) {
                changes.recordAcknowledged(change, at.name());
            } else if (answer.status() / 100 == 4) {
                changes.recordRefused(change, answer.status(), at.name());
            }
            boolean conclusive = answer.status() == 200 || answer.status() / 100 == 4;
            if (conclusive && random.nextDouble() >= LOST_ANSWER_SHARE) {
                if (answer.status() == 412) {
                    read();
                }
                return;
            }
            changes.recordResend();
            pause(MAX_PAUSE_MILLIS / 2);
        }
    }

    private void read() {
        Machine at = randomControlNode();
        long minRevision = changes.newestAcknowledged();
        BlockingHttp.Answer answer = BlockingHttp.call(
                at.ip(), Machine.CONTROL_PORT, "GET", "/Configuration.Read", "Host: core\r\n", "", CALL_LIMIT);
        if (answer.status() == 200) {
            changes.recordRead(revision(answer.body()), answer.body(), minRevision, at.name());
        }
    }

    /** The revision of a configuration in JSON text; -1 if it has none. */
    static long revision(String body) {
        Matcher found = REVISION.matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : -1;
    }
}
