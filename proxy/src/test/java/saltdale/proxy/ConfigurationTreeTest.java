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

/** Configurations sent to another process as snapshots and changes are reproduced there unchanged. */
class ConfigurationTreeTest {
    private static Map<String, Object> randomConfiguration(long revision, SplittableRandom random) {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("revision", revision);
        for (String list : List.of("routes", "services", "other")) {
            List<Object> items = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                if (random.nextInt(3) > 0) {
                    items.add(new LinkedHashMap<>(Map.of("name", "n-" + i, "weight", random.nextInt(2) + 0.5)));
                }
            }
            if (random.nextInt(8) == 0) {
                items.add("no item with a name");
            }
            if (random.nextInt(4) > 0) {
                configuration.put(list, items);
            }
        }
        configuration.put("limits", random.nextBoolean() ? Map.of("body_size_bytes", (long) random.nextInt(3)) : null);
        return configuration;
    }

    private static ConfigurationTree decode(Map<String, Object> configuration) throws MalformedMessage {
        return ConfigurationTree.of(Trees.fromCbor(Trees.toCbor(configuration)));
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
    void changeTurnsOneConfigurationIntoTheNext() throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        ConfigurationTree current = decode(randomConfiguration(1, random));
        ConfigurationReplica replica = replica(current);
        for (int revision = 2; revision < 300; revision++) {
            ConfigurationTree next = decode(randomConfiguration(revision, random));
            assertThat(next.digest(), is(not(current.digest())));
            assertThat(replica.apply(change(current, next)), is(ConfigurationReplica.Outcome.APPLIED));
            assertThat(replica.digest(), is(next.digest()));
            Map<String, Object> noDifference =
                    Map.of("dropped", List.of(), "set", Map.of(), "removed", Map.of(), "items", Map.of());
            assertThat("differences other than the order of items", next.changeTo(replica.tree()), is(noDifference));
            current = replica.tree();
        }
    }

    @Test
    void changeWithWrongBaseOrWrongResultIsRejected() throws Exception {
        SplittableRandom random = new SplittableRandom(8);
        ConfigurationTree first = decode(randomConfiguration(1, random));
        ConfigurationTree second = decode(randomConfiguration(2, random));
        ConfigurationTree third = decode(randomConfiguration(3, random));
        ConfigurationReplica replica = replica(first);
        assertThat(replica.apply(change(second, third)), is(ConfigurationReplica.Outcome.REJECTED));
        assertThat(replica.digest(), is(first.digest()));
        ConfigurationChange validChange = change(first, second);
        ConfigurationChange wrongResult = new ConfigurationChange(
                "",
                1,
                1,
                first.digest(),
                2,
                second.digest(),
                change(first, third).change());
        assertThat(replica.apply(wrongResult), is(ConfigurationReplica.Outcome.REJECTED));
        assertThat("digest of a replica that needs a snapshot", replica.digest(), is(""));
        assertThat(replica.revision(), is(1L));
        assertThat(replica.apply(validChange), is(ConfigurationReplica.Outcome.REJECTED));
    }

    @Test
    void corruptedSnapshotIsRejected() throws Exception {
        ConfigurationSnapshot snapshot =
                ConfigurationSnapshot.of(decode(randomConfiguration(1, new SplittableRandom(9))));
        byte[] corrupted = snapshot.bytes().clone();
        corrupted[corrupted.length / 2] ^= 1;
        ConfigurationReplica replica = new ConfigurationReplica();
        SnapshotPart part = new SnapshotPart("", snapshot.digest(), 0, corrupted.length, corrupted);
        assertThrows(MalformedMessage.class, () -> replica.addSnapshotPart(part));
        assertThat(replica.revision(), is(-1L));
        assertThat(replica.snapshotOffset(), is(0));
    }
}
