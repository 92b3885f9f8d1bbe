package saltdale.rig.platform.live;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which machines of a soak are in contact, as the contracts define it: for {@code contact_ms}, neither the
 * machine nor the core had a fault. Thread-safe.
 */
final class SoakContact {
    private static final String CORE = "the core";

    private final long contactNanos;
    private final Map<String, Integer> activeFaults = new HashMap<>(); // number in progress, by machine
    private final Map<String, Long> disturbedAt = new HashMap<>(); // last begin or end of a fault, by nanoTime

    SoakContact(Duration contact) {
        contactNanos = contact.toNanos();
    }

    /** Begins a fault of a machine; a fault of a control node is one of the core too. */
    synchronized void begin(String machine, boolean ofCore) {
        for (String each : names(machine, ofCore)) {
            activeFaults.merge(each, 1, Integer::sum);
            disturbedAt.put(each, System.nanoTime());
        }
    }

    /** Ends a fault of a machine. */
    synchronized void end(String machine, boolean ofCore) {
        for (String each : names(machine, ofCore)) {
            activeFaults.merge(each, -1, Integer::sum);
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

    /** Whether the core has had no fault for this long. */
    synchronized boolean isCoreUndisturbedFor(Duration span) {
        return isUndisturbed(CORE, System.nanoTime(), span.toNanos());
    }

    /** Whether the machine has no fault in progress. */
    synchronized boolean isFree(String machine) {
        return activeFaults.getOrDefault(machine, 0) == 0;
    }

    /** Whether the machine has been in contact from this moment on, by {@link System#nanoTime}. */
    synchronized boolean wasInContactSince(String machine, long sinceNanos) {
        long now = System.nanoTime();
        long span = now - sinceNanos + contactNanos;
        return isUndisturbed(machine, now, span) && isUndisturbed(CORE, now, span);
    }

    /** Whether the machine is in contact now. */
    synchronized boolean isInContact(String machine) {
        long now = System.nanoTime();
        return isUndisturbed(machine, now, contactNanos) && isUndisturbed(CORE, now, contactNanos);
    }

    private boolean isUndisturbed(String machine, long now, long span) {
        return activeFaults.getOrDefault(machine, 0) == 0
                && (!disturbedAt.containsKey(machine) || now - disturbedAt.get(machine) >= span);
    }
}
