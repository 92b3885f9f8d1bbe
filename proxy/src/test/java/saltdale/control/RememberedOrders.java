package saltdale.control;

import java.nio.charset.StandardCharsets;

/** Gives tests of other packages access to the configuration orders that a state remembers. */
public final class RememberedOrders {
    private RememberedOrders() {}

    /** Whether the state remembers that this order was applied. */
    public static boolean holds(ReplicatedState state, boolean amends, long base, String body) {
        byte[] digest = new ConfigurationUpdate(amends, base, body.getBytes(StandardCharsets.UTF_8)).digest();
        return state.recentChanges().find(base, digest) == RecentChanges.LookupResult.APPLIED;
    }

    /** The size of the memory of orders in bytes. */
    public static int bytes(ReplicatedState state) {
        return state.recentChanges().entries().length;
    }
}
