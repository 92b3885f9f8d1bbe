package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RecentlyUsedTest {
    /** Guards against memory that grows with all instances that a proxy has ever used. */
    @Test
    void keepsTheEntriesUsedMostRecently() {
        List<String> dropped = new ArrayList<>();
        RecentlyUsed<Integer, String> map = new RecentlyUsed<>(3, dropped::add);
        for (int key = 0; key < 100; key++) {
            map.use(0, String::valueOf);
            map.use(key, String::valueOf);
        }
        assertThat(map.size(), is(3));
        assertThat(map.contains(0) && map.contains(98) && map.contains(99), is(true));
        assertThat(dropped.size(), is(97));
        assertThat(map.remove(98), is("98"));
        assertThat(map.use(98, key -> "new"), is("new"));
        assertThat(dropped.contains("0"), is(false));
    }
}
