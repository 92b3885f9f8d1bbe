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

/** What a control node keeps on a real disk stays small, however many changes it accepts. */
class ControlRecordsTest {
    private static final String PEER = "10.0.0.2";
    private static final int CHANGES = 300;
    private static final int TEXT_BYTES = 200_000; // of some 750 routes
    private static final int MOST_BYTES = 4 << 20; // of a disk of 128 MB

    @TempDir
    Path folder;

    private final SplittableRandom chance = new SplittableRandom(1);
    private final List<Message> sent = new ArrayList<>();

    /** A clock that stands, no timers, and the record store as the disk. */
    private final class OnDisk implements Environment {
        private final RecordStore store;

        OnDisk(RecordStore store) {
            this.store = store;
        }

        @Override
        public long now() {
            return Environment.millisToNanos(1_000_000);
        }

        @Override
        public SplittableRandom random() {
            return chance;
        }

        @Override
        public Runnable schedule(long nanos, Runnable what) {
            return () -> {};
        }

        @Override
        public void send(String host, Message message) {
            sent.add(message);
        }

        @Override
        public void persist(Map<String, byte[]> records, Consumer<Boolean> done) {
            try {
                store.write(records);
                done.accept(true);
            } catch (RecordStoreException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void log(String what) {}

        @Override
        public Counters counters() {
            return new Counters();
        }

        @Override
        public void reportViolation(Invariant invariant, String detail) {
            throw new AssertionError(invariant + ": " + detail);
        }
    }

    private ControlNode node(RecordStore store) throws Exception {
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
        return new ControlNode(new OnDisk(store), settings, null, store.read());
    }

    private static Voter voter(RecordStore store) throws Exception {
        return new Voter(new String(store.read().get("identity"), StandardCharsets.UTF_8), "10.0.0.1", "n-1");
    }

    private byte[] text(long revision) {
        byte[] text = new byte[TEXT_BYTES];
        for (int i = 0; i < text.length; i++) {
            text[i] = (byte) ('a' + chance.nextInt(26));
        }
        byte[] begin = ("{\"revision\":" + revision + ",").getBytes(StandardCharsets.UTF_8);
        System.arraycopy(begin, 0, text, 0, begin.length);
        return text;
    }

    private long bytesOnDisk() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }

    @Test
    void hundredsOfChangesDoNotMakeTheFilesGrow() throws Exception {
        long most = 0;
        ReplicatedState state;
        byte[] text = null;
        try (RecordStore store = RecordStore.open(folder)) {
            ControlNode node = node(store);
            Voter own = voter(store);
            state = ReplicatedState.initial(List.of(own));
            for (int i = 1; i <= CHANGES; i++) {
                text = text(i);
                state = state.withConfiguration(
                        i, i + "-x", Integer.toString(100_000 + i).getBytes(StandardCharsets.UTF_8));
                node.handleMessage(PEER, new Accept(new Ballot(i, "x"), state, text, own.id()));
                assertThat(sent.get(sent.size() - 1), is(instanceOf(Accepted.class)));
                most = Math.max(most, bytesOnDisk());
            }
            List<String> texts = store.read().keySet().stream()
                    .filter(name -> name.startsWith("text:"))
                    .toList();
            assertThat(texts, hasSize(1));
            assertThat(texts.get(0), containsString(CHANGES + "-x"));
        }
        assertThat("bytes on disk", most, is(lessThan((long) MOST_BYTES)));
        try (RecordStore store = RecordStore.open(folder)) {
            ControlNode again = node(store);
            again.handleMessage(
                    PEER,
                    new Prepare(new Ballot(CHANGES + 1, "y"), "", voter(store).id()));
            Promise promise = (Promise) sent.get(sent.size() - 1);
            assertThat(promise.state(), is(state));
            assertThat(promise.text(), is(text));
        }
    }
}
