package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

/** What a process keeps of the texts that clients choose does not grow with them. */
class RetainedTextTest {
    private static final int LONG_TEXT_CHARACTERS = 15_000;

    private static String longText(int number) {
        return "x".repeat(LONG_TEXT_CHARACTERS) + number;
    }

    @Test
    void idsAreToldApart() {
        RecentAttemptIds ids = new RecentAttemptIds();
        for (int i = 0; i < 32; i++) {
            assertThat(ids.add(longText(i)), is(true));
        }
        assertThat(ids.add(longText(0)), is(false));
        assertThat(ids.add(longText(32)), is(true));
        assertThat("the oldest is forgotten", ids.add(longText(0)), is(true));
    }

    /** An entry is kept as a copy of its beginning, so the allocations of adding it bound what is kept. */
    @Test
    void logEntriesAreAbbreviated() {
        LogRing log = new LogRing(() -> 0);
        log.add(longText(0));
        String message = longText(1);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        long before = threads.getThreadAllocatedBytes(thread);
        log.add(message);
        long allocated = threads.getThreadAllocatedBytes(thread) - before;
        assertThat(allocated, is(lessThan((long) LONG_TEXT_CHARACTERS)));
    }
}
