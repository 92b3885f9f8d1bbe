package saltdale.proxy;

import java.util.HashMap;
import java.util.Map;
import saltdale.control.Instance;

/** An instance as its owner sees it: which of its slots are granted, and how it has done of late. */
final class InstanceSlots {
    /** A slot that is granted: to whom, since when, and until when it comes back if nobody says so. */
    record Grant(String life, long at, long until) {}

    static final double POOR = 0.3; // an instance failing more than this share of late is passed over

    Instance instance;
    final Map<String, Grant> grants = new HashMap<>(); // by who asked and the number of the question
    long notBefore; // it turned work away, or could not be reached, and rests until then
    long rest;
    double failing;
    boolean used; // something was sent there
    boolean trying;
    long since;

    InstanceSlots(Instance instance, long since) {
        this.instance = instance;
        this.since = since;
    }

    boolean isUp() {
        return instance.phase() == Instance.Phase.READY;
    }

    int free() {
        return instance.slots() - grants.size();
    }

    boolean mayTake(long now) {
        return isUp() && free() > 0 && now >= notBefore;
    }

    void ended(boolean failed) {
        failing = 0.8 * failing + (failed ? 0.2 : 0);
    }

    /** It rests, longer each time until something goes well there. */
    void rests(long now, long least, long most) {
        rest = Math.min(most, Math.max(least, 2 * rest));
        notBefore = now + rest;
    }
}
