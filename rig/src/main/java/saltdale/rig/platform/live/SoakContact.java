package saltdale.rig.platform.live;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which machines of a soak are in touch, as the rules have it: neither they nor the core had any trouble for
 * {@code contact_ms}. Used by several threads.
 */
final class SoakContact {
    private static final String CORE = "the core";

    private final long contactNanos;
    private final Map<String, Integer> troubles = new HashMap<>(); // under way, by machine
    private final Map<String, Long> disturbedAt = new HashMap<>();

    SoakContact(Duration contact) {
        contactNanos = contact.toNanos();
    }

    /** A trouble of this machine begin; those of control nodes are the core's. */
    synchronized void begin(String machine, boolean ofCore) {
        for (String each : names(machine, ofCore)) {
            troubles.merge(each, 1, Integer::sum);
            disturbedAt.put(each, System.nanoTime());
        }
    }

    synchronized void end(String machine, boolean ofCore) {
        for (String each : names(machine, ofCore)) {
            troubles.merge(each, -1, Integer::sum);
            disturbedAt.put(each, System.nanoTime());
        }
    }

    private static Set<String> names(String machine, boolean ofCore) {
        Set<String> names = new HashSet<>(Set.of(machine));
        if (ofCore) {
            names.add(CORE);
        }
        return names;
    }

    /** Whether no trouble of a control node is under way, and none was for this long. */
    synchronized boolean isCoreUndisturbedFor(Duration span) {
        return isUndisturbed(CORE, System.nanoTime(), span.toNanos());
    }

    /** Whether no trouble of this machine is under way. */
    synchronized boolean isFree(String machine) {
        return troubles.getOrDefault(machine, 0) == 0;
    }

    /** Whether this machine is in touch at this moment. */
    synchronized boolean isInContact(String machine) {
        long now = System.nanoTime();
        return isUndisturbed(machine, now, contactNanos) && isUndisturbed(CORE, now, contactNanos);
    }

    private boolean isUndisturbed(String machine, long now, long span) {
        return troubles.getOrDefault(machine, 0) == 0
                && (!disturbedAt.containsKey(machine) || now - disturbedAt.get(machine) >= span);
    }
}
