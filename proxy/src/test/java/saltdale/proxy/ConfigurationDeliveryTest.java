package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.change;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;
import static saltdale.proxy.SimOperator.route;
import static saltdale.proxy.SimOperator.servingCluster;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.control.AgreedText;

/** What is acknowledged comes into force at every proxy, and no version holds up those after it. */
class ConfigurationDeliveryTest {
    private static final long CONFIG_APPLY_MS = 3000;

    private static String amendment(long revision, String route) {
        return "{\"revision\":" + revision + ",\"set_items\":{\"routes\":[" + route + "]}}";
    }

    private static final String ROUTE = route("r-2", "/c/", "idempotent", "fn");

    private static String withField(String field) {
        return ROUTE.replace("\"max_attempts\":3}", "\"max_attempts\":3," + field + "}");
    }

    /** Routes that are JSON but hard to pass on in another form. */
    enum UnusualRoute {
        HALF_CHARACTER_ENDS_NAME(ROUTE.replace("r-2", "r-2\\ud83d")),
        SECOND_HALF_IN_NAME(ROUTE.replace("r-2", "r-\\ude00 2")),
        HALVES_IN_WRONG_ORDER(ROUTE.replace("r-2", "r-2\\ude00\\ud83d")),
        HALF_CHARACTER_IN_UNKNOWN_FIELD(withField("\"note\":\"\\ud83d\"")),
        HALF_CHARACTER_IN_FIELD_NAME(withField("\"\\ud83d\":1")),
        DEEPLY_NESTED(withField("\"more\":" + "[".repeat(29) + "]".repeat(29))),
        INFINITE_NUMBER(withField("\"more\":1e400")),
        INFINITE_WEIGHT(ROUTE.replace("\"service\":\"fn\"", "\"split\":[{\"service\":\"fn\",\"weight\":1e400}]")),
        LARGE_INTEGER(withField("\"more\":9999999999999999999999")),
        UNUSUAL_VALUES(withField("\"more\":1e15,\"zero\":-0.0,\"empty\":{\"\":null}")),
        WHOLE_CHARACTER_AND_CONTROL_CHARACTER(ROUTE.replace("r-2", "r-2 \\ud83d\\ude00 \\u0000")),
        LONG_NAME(ROUTE.replace("r-2", "x".repeat(60_000) + "\\ud83d\\ude00"));

        private final String json;

        UnusualRoute(String json) {
            this.json = json;
        }
    }

    /**
     * Guards against an order that is acknowledged but cannot be passed on to proxies, and then holds up the proper
     * ones after it.
     */
    @ParameterizedTest
    @EnumSource(UnusualRoute.class)
    void acknowledgedVersionsReachEveryProxy(UnusualRoute unusualRoute) {
        SimWorld world = servingCluster(3, 3, 3);
        String unusual = config(2).replace("\"routes\":[", "\"routes\":[" + unusualRoute.json + ",");
        int status = replace(world, world.controlNodes.get(0), 1, unusual);
        assertThat(status, anyOf(is(200), is(400)));
        String base = status == 200 ? "2" : "1";
        String proper = amendment(3, route("r-3", "/d/", "idempotent", "fn"));
        assertThat(change(world, world.controlNodes.get(1), true, base, proper), is(200));
        world.run(CONFIG_APPLY_MS);
        assertThat(decisions(world, "/d/1"), everyItem(instanceOf(RouteDecision.Found.class)));
        if (status == 200) {
            assertThat(decisions(world, "/c/1"), everyItem(instanceOf(RouteDecision.Found.class)));
        }
        assertThat(world.violations, is(empty()));
    }

    private static List<RouteDecision> decisions(SimWorld world, String path) {
        return world.proxies.stream()
                .map(each -> each.proxy().route("h.example", path))
                .toList();
    }

    private static SimWorld withUnreadableRevision2(AgreedText agreed) {
        SimWorld world = new SimWorld(5);
        world.controlNodeFactory = agreed::node;
        servingCluster(world, 3, 3);
        SimOperator.load(world, 20, 20_000, () -> "/a/1"); // keeps an instance running
        world.run(2000);
        assertThat(replace(world, world.controlNodes.get(0), 1, config(2, 1)), is(200));
        world.run(CONFIG_APPLY_MS + 1500);
        return world;
    }

    private static void restartControlNodes(SimWorld world) {
        for (SimMachine each : world.controlNodes) {
            each.kill();
            each.start();
            world.run(2500);
        }
    }

    private static int call(SimWorld world, SimMachine proxy, String path) {
        SimPlatform.OutgoingCall call = world.platform.call(proxy, "h.example", path, 3000);
        world.run(3000);
        return call.answers.get(0);
    }

    /**
     * Guards against a total outage after a version that the control nodes cannot read: requests on known routes are
     * served, even after a restart of the control nodes; none is denied by the older version; the next version applies.
     */
    @ParameterizedTest
    @EnumSource(
            value = AgreedText.class,
            names = {"TRUNCATED", "FAILS"})
    void unreadableAgreedVersionHoldsUpNothing(AgreedText agreed) {
        SimWorld world = withUnreadableRevision2(agreed);
        restartControlNodes(world);
        for (SimMachine proxy : world.proxies) {
            assertThat(call(world, proxy, "/a/1"), is(200));
            assertThat(proxy.proxy().route("h.example", "/x0/1"), instanceOf(RouteDecision.Undecided.class));
        }
        assertTrue(replaceUntilAcknowledged(world, 2, config(3, 1), 5000));
        world.run(CONFIG_APPLY_MS);
        assertThat(decisions(world, "/x0/1"), everyItem(instanceOf(RouteDecision.Found.class)));
        world.violations.removeIf(violation -> violation.contains("CHOSEN_IS_VALID"));
        assertThat(world.violations, is(empty()));
    }

    /** A version with half of a character that an older release agreed on applies, and so do amendments of it. */
    @Test
    void agreedVersionWithHalfACharacterApplies() {
        SimWorld world = withUnreadableRevision2(AgreedText.HALF_CHARACTER);
        assertThat(decisions(world, "/x0/1"), everyItem(instanceOf(RouteDecision.Found.class)));
        String proper = amendment(3, route("r-3", "/d/", "idempotent", "fn"));
        assertThat(change(world, world.controlNodes.get(1), true, "2", proper), is(200));
        world.run(CONFIG_APPLY_MS);
        assertThat(decisions(world, "/d/1"), everyItem(instanceOf(RouteDecision.Found.class)));
        assertThat(decisions(world, "/b/1"), everyItem(instanceOf(RouteDecision.Found.class)));
        assertThat(world.violations, is(empty()));
    }
}
