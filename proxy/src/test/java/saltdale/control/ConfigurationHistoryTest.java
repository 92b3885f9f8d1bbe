package saltdale.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The changes that are sent to proxies, and what is kept to make them. */
class ConfigurationHistoryTest {
    private static final int BASES = 10;

    /** Fields, lists and items come, change and go; a name may be that of a field and of a list in turn. */
    private static ConfigurationTree random(long revision, SplittableRandom random) {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("revision", revision);
        for (String name : List.of("routes", "services", "other")) {
            List<Object> items = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                if (random.nextInt(3) > 0) {
                    items.add(Map.of("name", "n-" + i, "weight", random.nextInt(2)));
                }
            }
            switch (random.nextInt(5)) {
                case 0 -> configuration.put(name, (long) random.nextInt(2));
                case 1 -> {}
                default -> configuration.put(name, items);
            }
        }
        return ConfigurationTree.of(configuration);
    }

    /** The names of several steps make the change from the first base, whatever happened in between. */
    @Test
    void changesOfSeveralStepsLeadToTheNewestConfiguration() throws MalformedMessage {
        SplittableRandom random = new SplittableRandom(5);
        ConfigurationHistory history = new ConfigurationHistory();
        List<ConfigurationTree> all = new ArrayList<>();
        for (int revision = 1; revision < 400; revision++) {
            ConfigurationTree newest = random(revision, random);
            history.add(newest);
            all.add(newest);
            for (ConfigurationTree base : all.subList(Math.max(0, all.size() - BASES), all.size())) {
                Map<String, Object> change = history.changeSince(base.revision(), base.digest());
                assertThat(base.withChange(change).digest(), is(newest.digest()));
            }
        }
        assertThat("of another configuration", history.changeSince(399, "other"), is(nullValue()));
        assertThat("too long ago", history.changeSince(1, all.get(0).digest()), is(nullValue()));
    }

    private static ConfigurationTree large(long revision, int items, int itemCharacters) {
        List<Object> routes = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            routes.add(Map.of("name", "r-" + i, "text", (revision + "-" + i).repeat(itemCharacters / 8)));
        }
        return ConfigurationTree.of(Map.of("revision", revision, "routes", routes));
    }

    /** Guards against whole versions that are kept, as trees or in snapshots, and use up the heap. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10_000})
    void noOlderConfigurationIsKept(int items) {
        ConfigurationHistory history = new ConfigurationHistory();
        List<WeakReference<ConfigurationTree>> older = new ArrayList<>();
        for (int revision = 1; revision <= 12; revision++) {
            ConfigurationTree tree = large(revision, items, 1_000_000 / items);
            history.add(tree);
            history.snapshot("");
            older.add(new WeakReference<>(tree));
        }
        older.remove(older.size() - 1);
        for (int i = 0; i < 20 && older.stream().anyMatch(each -> each.get() != null); i++) {
            System.gc();
        }
        assertThat(older.stream().filter(each -> each.get() != null).count(), is(0L));
    }

    /** Guards against large changes that wait for each of many proxies: they fetch a snapshot in parts instead. */
    @Test
    void largeChangesAreReplacedBySnapshots() {
        ConfigurationHistory history = new ConfigurationHistory();
        ConfigurationTree first = large(1, 5, 10_000);
        ConfigurationTree second = large(2, 5, 100_000);
        history.add(first);
        history.add(second);
        assertThat(history.changeSince(1, first.digest()), is(nullValue()));
        assertThat(history.snapshot("").bytes().length, greaterThan(0));
        ConfigurationTree third = large(3, 5, 1000);
        history.add(third);
        Map<String, Object> change = history.changeSince(2, second.digest());
        assertThat(Trees.toCbor(change).length, lessThan(20_000));
    }
}
