package saltdale.proxy;

import java.util.List;
import saltdale.control.Configuration;
import saltdale.control.Instance;
import saltdale.control.Member;

/** Creates attempts for tests of the transports that carry them. */
public final class Attempts {
    private Attempts() {}

    public static Attempt of(String id, String address) {
        return of(id, address, true);
    }

    public static Attempt of(String id, String address, boolean idempotent) {
        Configuration.Route route =
                new Configuration.Route("r", "h", "/", idempotent, 1000, 100, 0, 1, List.of("s"), List.of(1.0));
        Request request = new Request(id, route, "s", null, 0, 0, Long.MAX_VALUE);
        return new Attempt(
                request,
                new Instance("i-1", "s", address, "z", "w", Instance.Phase.READY, 1),
                new Member("l", "n", "z", "h", false),
                "l",
                1,
                0);
    }
}
