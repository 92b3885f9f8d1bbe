package saltdale.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RecentChangesTest {
    private static final List<Voter> VOTERS = List.of(new Voter("a", "10.0.0.1", "a"));

    private static byte[] digest(long number) {
        return Long.toString(100_000 + number).getBytes(StandardCharsets.UTF_8);
    }

    private static ReplicatedState reread(ReplicatedState state) throws MalformedMessage {
        return ReplicatedState.of(Trees.fromCbor(Trees.toCbor(state.tree())));
    }

    /** Against a plain list of all orders, with steps of one to nine bytes. */
    @Test
    void findsWhatAPlainListFinds() throws Exception {
        Random random = new Random(1);
        for (int run = 0; run < 20; run++) {
            ReplicatedState state = ReplicatedState.initial(VOTERS);
            List<Long> bases = new ArrayList<>();
            int bits = run == 0 ? 53 : 1 + random.nextInt(20);
            int changes = random.nextInt(700);
            for (int i = 0; i < changes; i++) {
                long next = state.revision() + 1 + (random.nextLong() & (1L << bits) - 1);
                bases.add(state.revision());
                state = state.withConfiguration(next, next + "-x", digest(i));
            }
            RecentChanges memory = reread(state).recentChanges();
            assertThat(reread(state), is(state));
            int oldest = Math.max(0, changes - RecentChanges.MAX_ENTRIES);
            for (int i = 0; i < changes; i++) {
                RecentChanges.LookupResult known =
                        i < oldest ? RecentChanges.LookupResult.FORGOTTEN : RecentChanges.LookupResult.APPLIED;
                assertThat(memory.find(bases.get(i), digest(i)), is(known));
                RecentChanges.LookupResult other =
                        i < oldest ? RecentChanges.LookupResult.FORGOTTEN : RecentChanges.LookupResult.NOT_APPLIED;
                assertThat(memory.find(bases.get(i), digest(i + 1)), is(other));
            }
            assertThat(memory.find(state.revision(), digest(1)), is(RecentChanges.LookupResult.NOT_APPLIED));
            assertThat(memory.find(state.revision() + 1, digest(1)), is(RecentChanges.LookupResult.NOT_APPLIED));
        }
    }

    /** The list of digests in a record of an earlier release tells no bases: its orders count as forgotten. */
    @Test
    void aRecordOfAnEarlierReleaseIsRead() throws Exception {
        Map<String, Object> old = Fields.tree(
                "v", 9, "m", List.of(VOTERS.get(0).tree()), "d", Map.of(), "r", 7, "k", "7-x", "c", List.of("0a1b"));
        ReplicatedState state = ReplicatedState.of(Trees.fromCbor(Trees.toCbor(old)));
        assertThat(state.revision(), is(7L));
        assertThat(state.recentChanges().find(6, digest(1)), is(RecentChanges.LookupResult.FORGOTTEN));
        assertThat(state.recentChanges().find(7, digest(1)), is(RecentChanges.LookupResult.NOT_APPLIED));
        ReplicatedState next = reread(state.withConfiguration(8, "8-x", digest(1)));
        assertThat(next.recentChanges().find(7, digest(1)), is(RecentChanges.LookupResult.APPLIED));
        assertThat(next.recentChanges().find(6, digest(1)), is(RecentChanges.LookupResult.FORGOTTEN));
    }

    @Test
    void aMalformedMemoryIsToldAndNotUsed() throws Exception {
        RecentChanges two = RecentChanges.startingAt(3).with(3, 4, digest(1)).with(4, 400, digest(2));
        assertThat(RecentChanges.of(3, two.entries(), 400), is(two));
        byte[] cut = java.util.Arrays.copyOf(two.entries(), two.entries().length - 1);
        assertThrows(MalformedMessage.class, () -> RecentChanges.of(3, cut, 400));
        assertThrows(MalformedMessage.class, () -> RecentChanges.of(3, two.entries(), 401));
        assertThrows(MalformedMessage.class, () -> RecentChanges.of(4, two.entries(), 400));
        byte[] still = new byte[RecentChanges.DIGEST_BYTES + 1]; // a step of 0
        assertThrows(MalformedMessage.class, () -> RecentChanges.of(3, still, 3));
        byte[] endless = new byte[30];
        java.util.Arrays.fill(endless, (byte) -1);
        assertThrows(MalformedMessage.class, () -> RecentChanges.of(3, endless, 3));
    }
}
