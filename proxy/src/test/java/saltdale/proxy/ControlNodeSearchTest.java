package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saltdale.control.message.ContactMessage.ContactProbe;
import saltdale.control.message.ContactMessage.ContactReply;

/** The order in which control nodes are probed, and which of their replies count. */
class ControlNodeSearchTest {
    private final SimWorld world = new SimWorld(7);
    private final List<String> probed = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();
    private final ControlNodeDirectory directory = new ControlNodeDirectory(List.of("s-1", "s-2", "s-3"));
    private final ControlNodeSearch search =
            new ControlNodeSearch(world.proxy("10.1.0.1", "z-a").new Process(), directory, () -> List.of("fellow"));

    ControlNodeSearchTest() {
        world.sendObserver = (from, to, message) -> {
            probed.add(to);
            numbers.add(((ContactProbe) message).number());
        };
    }

    private static List<String> hosts(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }

    @Test
    void eachRoundProbesEveryControlNodeOnce() {
        directory.updateCurrent(hosts("old-", 5));
        directory.updateCurrent(hosts("new-", 5));
        for (int round = 0; round < 4; round++) {
            Set<String> inRound = new HashSet<>();
            int from = probed.size();
            for (int step = 0; step < 6; step++) { // 13 known control nodes without the excluded one
                search.probeNext("new-0");
            }
            probed.subList(from, probed.size()).stream()
                    .filter(host -> !host.equals("fellow"))
                    .forEach(host -> assertThat(host + " probed twice", inRound.add(host)));
            assertThat(inRound, hasSize(12));
            assertThat(inRound, not(hasItem("new-0")));
        }
        List<String> first = probed.subList(0, 4);
        assertThat(first.toString(), first.stream().allMatch(host -> host.startsWith("new-")));
        assertThat("after a round without replies", probed, hasItem("fellow"));
    }

    @Test
    void currentControlNodesReplacePreviousOnes() {
        for (int i = 0; i < 50; i++) {
            directory.updateCurrent(hosts("v" + i + "-", 3));
        }
        assertThat(directory.current(), contains("v49-0", "v49-1", "v49-2"));
        assertThat(directory.all().subList(0, 3), is(directory.current()));
        assertThat(directory.all().size(), lessThanOrEqualTo(3 + 3 + 8));
        directory.updateSeeds(List.of("s-4"));
        assertThat(directory.all().get(3), is("s-4"));
        directory.addHints(List.of("v49-1", "s-2", "fresh"));
        assertThat(directory.all(), hasItem("fresh"));
        assertThat(new HashSet<>(directory.all()), hasSize(directory.all().size()));
    }

    @Test
    void outdatedRepliesAndRepliesOfStrangersDoNotCount() {
        search.probeNext(null);
        String host = probed.get(0);
        long number = numbers.get(0);
        search.stop();
        search.probeNext(null);
        search.handleReply(host, new ContactReply(number, true, List.of()));
        search.handleReply("fellow", new ContactReply(numbers.get(2), true, List.of("told-1")));
        assertThat(search.serving(), nullValue());
        assertThat(directory.all(), hasItem("told-1"));
        search.handleReply(probed.get(2), new ContactReply(numbers.get(2), false, List.of()));
        assertThat(search.serving(), nullValue());
        assertThat(search.notServing(), is(probed.get(2)));
        search.handleReply(probed.get(3), new ContactReply(numbers.get(3), true, List.of()));
        assertThat(search.serving(), is(probed.get(3)));
    }
}
