package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltdale.control.Ballot;
import saltdale.control.ControlNode;
import saltdale.control.ControlNodeSettings;
import saltdale.control.Counters;
import saltdale.control.Environment;
import saltdale.control.Invariant;
import saltdale.control.Platform;
import saltdale.control.ReplicatedState;
import saltdale.control.ToleratedLosses;
import saltdale.control.Voter;
import saltdale.control.message.BallotMessage.Accept;
import saltdale.control.message.BallotMessage.Accepted;
import saltdale.control.message.BallotMessage.Prepare;
import saltdale.control.message.BallotMessage.Promise;
import saltdale.control.message.Message;
import saltdale.storage.RecordStore;
import saltdale.storage.RecordStoreException;

/** Checks that the records of a control node on a real disk stay small, however many changes it accepts. */
class ControlRecordsTest {
    private static final String PEER = "10.0.0.2";
    private static final int CHANGES = 300;
    private static final int TEXT_BYTES = 200_000; // a configuration of about 750 routes
    private static final int MAX_BYTES_ON_DISK = 4 << 20; // of a disk of 128 MB

    @TempDir
    Path directory;

    private final SplittableRandom random = new SplittableRandom(1);
    private final List<Message> sent = new ArrayList<>();

    /** An environment with a constant clock, without timers, and with the record store as the disk. */
    private final class DiskEnvironment implements Environment {
        private final RecordStore store;

        DiskEnvironment(RecordStore store) {
            this.store = store;
        }

        @Override
        public long now() {
            return Environment.millisToNanos(1_000_000);
        }

        @Override
        public SplittableRandom random() {
            return random;
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
        public void persist(Map<String, byte[]> records, Consumer<Boolean> onComplete) {
            try {
                store.write(records);
                onComplete.accept(true);
            } catch (RecordStoreException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void runGuarded(Runnable task) {
            task.run();
        }

        @Override
        public void log(String message) {}

        @Override
        public Counters counters() {
            return new Counters();
        }

        @Override
        public void reportViolation(Invariant invariant, String detail) {
            throw new AssertionError(invariant + ": " + detail);
        }
    }

    private ControlNode createNode(RecordStore store) throws Exception {
        ControlNodeSettings settings = new ControlNodeSettings(
                "n-1",
                "10.0.0.1",
                "z-a",
                List.of("10.0.0.1", PEER),
                true,
                new ToleratedLosses(1, 0, 0),
                Environment.millisToNanos(1200),
                Environment.millisToNanos(5000),
                Environment.millisToNanos(3000),
                new Platform.Rates(5, 5, List.of("starting")));
        return new ControlNode(new DiskEnvironment(store), settings, null, store.read());
    }

    private static Voter voter(RecordStore store) throws Exception {
        return new Voter(new String(store.read().get("identity"), StandardCharsets.UTF_8), "10.0.0.1", "n-1");
    }

    private byte[] configurationText(long revision) {
        byte[] text = new byte[TEXT_BYTES];
        for (int i = 0; i < text.length; i++) {
            text[i] = (byte) ('a' + random.nextInt(26));
        }
        byte[] prefix = ("{\"revision\":" + revision + ",").getBytes(StandardCharsets.UTF_8);
        System.arraycopy(prefix, 0, text, 0, prefix.length);
        return text;
    }

    private long bytesOnDisk() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }

    @Test
    void filesDoNotGrowOverHundredsOfChanges() throws Exception {
        long maxBytes = 0;
        ReplicatedState state;
        byte[] text = null;
        try (RecordStore store = RecordStore.open(directory)) {
            ControlNode node = createNode(store);
            Voter self = voter(store);
            state = ReplicatedState.initial(List.of(self));
            for (int i = 1; i <= CHANGES; i++) {
                text = configurationText(i);
                state = state.withConfiguration(
                        i, i + "-x", Integer.toString(100_000 + i).getBytes(StandardCharsets.UTF_8));
                node.handleMessage(PEER, new Accept(new Ballot(i, "x"), state, text, self.id()));
                assertThat(sent.get(sent.size() - 1), is(instanceOf(Accepted.class)));
                maxBytes = Math.max(maxBytes, bytesOnDisk());
            }
            List<String> texts = store.read().keySet().stream()
                    .filter(name -> name.startsWith("text:"))
                    .toList();
            assertThat(texts, hasSize(1));
            assertThat(texts.get(0), containsString(CHANGES + "-x"));
        }
        assertThat("bytes on disk", maxBytes, is(lessThan((long) MAX_BYTES_ON_DISK)));
        try (RecordStore store = RecordStore.open(directory)) {
            ControlNode restarted = createNode(store);
            restarted.handleMessage(
                    PEER,
                    new Prepare(new Ballot(CHANGES + 1, "y"), "", voter(store).id()));
            Promise promise = (Promise) sent.get(sent.size() - 1);
            assertThat(promise.state(), is(state));
            assertThat(promise.text(), is(text));
        }
    }
}
