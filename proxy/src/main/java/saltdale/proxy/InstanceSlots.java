package saltdale.proxy;

import java.util.HashMap;
import java.util.Map;
import saltdale.control.Instance;

/** An instance as its owner sees it: which of its slots are granted, and how reliable it has been recently. */
final class InstanceSlots {
    /**
     * A granted slot.
     *
     * @param incarnation the incarnation of the proxy that holds it
     * @param expiresAt when it counts as free again if its holder never returns it
     */
    record Grant(String incarnation, long grantedAt, long expiresAt) {}

    /** Instances with a higher recent failure rate are mostly skipped. */
    static final double UNRELIABLE_FAILURE_RATE = 0.3;

    Instance instance;
    final Map<String, Grant> grants = new HashMap<>(); // by slot key
    long pausedUntil; // gets no requests before, since it turned one away or could not be reached
    long pauseNanos; // length of the last pause
    double failureRate; // moving average
    boolean hasBeenUsed; // has been granted to a request
    boolean isBeingTested; // connection tests are under way, see BootingInstances
    long addedAt;

    InstanceSlots(Instance instance, long addedAt) {
        this.instance = instance;
        this.addedAt = addedAt;
    }

    boolean isReady() {
        return instance.phase() == Instance.Phase.READY;
    }

    int freeSlots() {
        return instance.slots() - grants.size();
    }

    boolean canAccept(long now) {
        return isReady() && freeSlots() > 0 && now >= pausedUntil;
    }

    void recordResult(boolean failed) {
        failureRate = 0.8 * failureRate + (failed ? 0.2 : 0);
    }

    /** Pauses the instance; the pause doubles each time until a request succeeds there. */
    void pause(long now, long minNanos, long maxNanos) {
        pauseNanos = Math.min(maxNanos, Math.max(minNanos, 2 * pauseNanos));
        pausedUntil = now + pauseNanos;
    }
}
