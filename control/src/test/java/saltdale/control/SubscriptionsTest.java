package saltdale.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage.ConfigurationOffer;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.MembersChange;
import saltdale.control.message.SessionMessage.SessionUpdate;

class SubscriptionsTest {
    private static final long LEASE_NANOS = 1_000_000_000;

    private final List<Message> sent = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Deque<Boolean> quorum = new ArrayDeque<>(); // the next results; then there is one

    private final Environment environment = new Environment() {
        @Override
        public long now() {
            return 0;
        }

        @Override
        public SplittableRandom random() {
            return new SplittableRandom(1);
        }

        @Override
        public Runnable schedule(long delayNanos, Runnable task) {
            return () -> {};
        }

        @Override
        public void send(String host, Message message) {
            sent.add(message);
        }

        @Override
        public void persist(Map<String, byte[]> records, Consumer<Boolean> onComplete) {}

        @Override
        public void runGuarded(Runnable task) {
            task.run();
        }

        @Override
        public void log(String message) {}

        @Override
        public Counters counters() {
            return counters;
        }

        @Override
        public void reportViolation(Invariant invariant, String detail) {}
    };

    /** Guards against news that are sent after a pause of the process in which it has lost the quorum. */
    @Test
    void newsAreNotSentIfTheQuorumIsLostWhileTheyAreMade() throws Exception {
        ConfigurationHistory history = new ConfigurationHistory();
        history.add(ConfigurationTree.of(Map.of("revision", 1L, "routes", List.of(), "services", List.of())));
        MembershipTable members = new MembershipTable(LEASE_NANOS);
        Member member = new Member("p", "proxy", "z-a", "10.1.0.1", false);
        members.renew(member, 1, 0, true);
        Subscriptions subscriptions = new Subscriptions(
                environment,
                new ControlNodeSettings(
                        "n",
                        "10.0.0.1",
                        "z-a",
                        List.of(),
                        true,
                        new ToleratedLosses(1, 0, 0),
                        LEASE_NANOS,
                        LEASE_NANOS,
                        LEASE_NANOS,
                        new Platform.Rates(1, 1, List.of())),
                history,
                members,
                new InstanceTable(1, 1),
                () -> quorum.isEmpty() || quorum.poll());
        quorum.addAll(List.of(true, false, false)); // lost right after the publication has begun
        subscriptions.onRenewal("10.1.0.1", new LeaseRenewal(member, 1, "session", -1, "", ""));
        assertThat(sent, is(empty()));
        subscriptions.publish();
        assertThat(sent, contains(instanceOf(ConfigurationOffer.class), instanceOf(MembersChange.class)));
        assertThat(((SessionUpdate) sent.get(0)).number(), is(1L));
        assertThat(counters.violations(Invariant.NEWS_WITH_QUORUM), is(0L));
    }
}
