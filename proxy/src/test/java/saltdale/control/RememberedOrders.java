package saltdale.control;

import java.nio.charset.StandardCharsets;

/** What a state remembers of operators' orders, for tests of other packages. */
public final class RememberedOrders {
    private RememberedOrders() {}

    /** Whether the state knows that this order was taken. */
    public static boolean holds(ReplicatedState state, boolean amends, long base, String body) {
        byte[] digest = new ConfigurationUpdate(amends, base, body.getBytes(StandardCharsets.UTF_8)).digest();
        return state.recentChanges().find(base, digest) == RecentChanges.LookupResult.APPLIED;
    }

    public static int bytes(ReplicatedState state) {
        return state.recentChanges().entries().length;
    }
}
