package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltdale.control.ConfigurationSnapshot;
import saltdale.control.ConfigurationTree;
import saltdale.control.MalformedMessage;
import saltdale.control.Trees;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.SnapshotPart;

/** Configurations that go from one process to another as snapshots and changes come out as they went in. */
class ConfigurationTreeTest {
    private static Map<String, Object> random(long revision, SplittableRandom chance) {
        Map<String, Object> whole = new LinkedHashMap<>();
        whole.put("revision", revision);
        for (String list : List.of("routes", "services", "other")) {
            List<Object> items = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                if (chance.nextInt(3) > 0) {
                    items.add(new LinkedHashMap<>(Map.of("name", "n-" + i, "weight", chance.nextInt(2) + 0.5)));
                }
            }
            if (chance.nextInt(8) == 0) {
                items.add("no item with a name");
            }
            if (chance.nextInt(4) > 0) {
                whole.put(list, items);
            }
        }
        whole.put("limits", chance.nextBoolean() ? Map.of("body_size_bytes", (long) chance.nextInt(3)) : null);
        return whole;
    }

    private static ConfigurationTree over(Map<String, Object> whole) throws MalformedMessage {
        return ConfigurationTree.of(Trees.fromCbor(Trees.toCbor(whole)));
    }

    private static ConfigurationChange change(ConfigurationTree from, ConfigurationTree to) throws MalformedMessage {
        Map<String, Object> change = Trees.fromCbor(Trees.toCbor(from.changeTo(to)));
        return new ConfigurationChange("", 1, from.revision(), from.digest(), to.revision(), to.digest(), change);
    }

    private static ConfigurationReplica replica(ConfigurationTree tree) throws MalformedMessage {
        ConfigurationReplica replica = new ConfigurationReplica();
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(tree);
        byte[] bytes = snapshot.bytes();
        replica.addSnapshotPart(new SnapshotPart("", snapshot.digest(), 0, bytes.length, bytes));
        return replica;
    }

    @Test
    void aChangeMakesTheNextOfTheOneBefore() throws Exception {
        SplittableRandom chance = new SplittableRandom(7);
        ConfigurationTree present = over(random(1, chance));
        ConfigurationReplica replica = replica(present);
        for (int revision = 2; revision < 300; revision++) {
            ConfigurationTree next = over(random(revision, chance));
            assertThat(next.digest(), is(not(present.digest())));
            assertThat(replica.apply(change(present, next)), is(ConfigurationReplica.Outcome.APPLIED));
            assertThat(replica.digest(), is(next.digest()));
            Map<String, Object> nothing =
                    Map.of("dropped", List.of(), "set", Map.of(), "removed", Map.of(), "items", Map.of());
            assertThat("only the order may differ", next.changeTo(replica.tree()), is(nothing));
            present = replica.tree();
        }
    }

    @Test
    void aChangeWithAnotherBaseOrAnotherOutcomeIsRefused() throws Exception {
        SplittableRandom chance = new SplittableRandom(8);
        ConfigurationTree first = over(random(1, chance));
        ConfigurationTree second = over(random(2, chance));
        ConfigurationTree third = over(random(3, chance));
        ConfigurationReplica replica = replica(first);
        assertThat(replica.apply(change(second, third)), is(ConfigurationReplica.Outcome.REJECTED));
        assertThat(replica.digest(), is(first.digest()));
        ConfigurationChange whole = change(first, second);
        ConfigurationChange wrong = new ConfigurationChange(
                "",
                1,
                1,
                first.digest(),
                2,
                second.digest(),
                change(first, third).change());
        assertThat(replica.apply(wrong), is(ConfigurationReplica.Outcome.REJECTED));
        assertThat("a snapshot must come", replica.digest(), is(""));
        assertThat(replica.revision(), is(1L));
        assertThat(replica.apply(whole), is(ConfigurationReplica.Outcome.REJECTED));
    }

    @Test
    void aSpoiltSnapshotIsNoConfiguration() throws Exception {
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(over(random(1, new SplittableRandom(9))));
        byte[] spoilt = snapshot.bytes().clone();
        spoilt[spoilt.length / 2] ^= 1;
        ConfigurationReplica replica = new ConfigurationReplica();
        SnapshotPart part = new SnapshotPart("", snapshot.digest(), 0, spoilt.length, spoilt);
        assertThrows(MalformedMessage.class, () -> replica.addSnapshotPart(part));
        assertThat(replica.revision(), is(-1L));
        assertThat(replica.snapshotOffset(), is(0));
    }
}
