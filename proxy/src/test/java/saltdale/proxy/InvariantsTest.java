package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.servingCluster;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import saltdale.control.Counters;
import saltdale.control.FaultyOrderHandling;
import saltdale.control.Invariant;
import saltdale.control.MalformedMessage;
import saltdale.control.ReplicatedState;
import saltdale.control.message.BallotMessage.Chosen;

/** The invariants checked by the code itself detect faulty variants and count the violations. */
class InvariantsTest {
    private static void assertViolated(SimWorld world, SimMachine node, Invariant invariant) {
        Counters counters = node.process.counters();
        assertThat(counters.violations(invariant), greaterThan(0L));
        assertThat(counters.toText(), containsString(invariant.metricName() + " " + counters.violations(invariant)));
        assertThat(world.violations.toString(), containsString(invariant.name()));
    }

    @Test
    void acknowledgementBeforeChoiceIsDetected() {
        SimWorld world = servingCluster(1, 3, 2);
        SimMachine node = world.controlNodes.get(0);
        node.kill();
        world.controlNodeFactory = FaultyOrderHandling.ACKNOWLEDGES_BEFORE_CHOSEN::node;
        node.start();
        world.run(3000);
        assertThat(world.violations, is(empty()));
        replace(world, node, 1, config(2));
        assertViolated(world, node, Invariant.ACKNOWLEDGED_IS_CHOSEN);
    }

    /** Announces a state on top of the newest one as chosen. */
    private static void announceChosen(SimWorld world, SimMachine to, long revision, String text)
            throws MalformedMessage {
        ReplicatedState newest = world.newestChosen;
        ReplicatedState next = new ReplicatedState(
                newest.version() + 1,
                newest.previousVoters(),
                newest.voters(),
                newest.duties(),
                revision,
                "another",
                newest.recentChanges());
        to.process.receive("10.0.0.9", new Chosen(next, text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void decreasingRevisionIsDetected() throws MalformedMessage {
        SimWorld world = servingCluster(2, 3, 2);
        replace(world, world.controlNodes.get(0), 1, config(9));
        world.run(1000);
        SimMachine node = world.controlNodes.get(1);
        announceChosen(world, node, 3, config(3));
        assertViolated(world, node, Invariant.REVISION_RISES);
    }

    @Test
    void invalidChosenConfigurationIsDetected() throws MalformedMessage {
        SimWorld world = servingCluster(3, 3, 2);
        SimMachine node = world.controlNodes.get(1);
        announceChosen(world, node, 3, config(3).replace("\"timeout_ms\":5000", "\"timeout_ms\":0"));
        assertViolated(world, node, Invariant.CHOSEN_IS_VALID);
    }
}
