package saltdale.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltdale.nodes.standin.Journal;
import saltdale.nodes.standin.Journal.Entry;
import saltdale.nodes.standin.Sessions;
import saltdale.nodes.tree.Tree;
import saltdale.nodes.tree.Tree.Operation;

class JournalTest {
    @TempDir
    Path folder;

    /** Writes a log of 30 acknowledged changes; returns the state of the tree after each of them. */
    private List<String> writeLog(Path file) throws IOException {
        Tree tree = new Tree(1000);
        List<String> treeAfterChange = new ArrayList<>(List.of(tree.toString()));
        try (Journal journal = Journal.open(file, new ArrayList<>())) {
            for (int i = 0; i < 30; i++) {
                Tree.TransactionResult transaction = tree.apply(
                        i % 7 == 6
                                ? List.of(
                                        Operation.set("/n" + (i - 1), new byte[i], -1),
                                        Operation.delete("/n" + (i - 2), -1))
                                : List.of(Operation.create("/n" + i, new byte[i], i % 2 == 0, false)),
                        5,
                        i);
                assertTrue(transaction.done());
                journal.append(Entry.changes(transaction.changes()));
                treeAfterChange.add(tree.toString());
            }
        }
        return treeAfterChange;
    }

    private static String tree(byte[] bytes, List<Entry> entries) {
        Tree tree = new Tree(1000);
        Journal.read(bytes, entries);
        entries.forEach(e -> e.changes().forEach(tree::replay));
        return tree.toString();
    }

    @Test
    void truncatedLogYieldsAllCompleteRecords() throws IOException {
        Path file = folder.resolve("log");
        List<String> treeAfterChange = writeLog(file);
        byte[] all = Files.readAllBytes(file);
        int lastCount = -1;
        for (int cut = 0; cut <= all.length; cut++) {
            List<Entry> entries = new ArrayList<>();
            assertEquals(treeAfterChange.get(countWhole(all, cut)), tree(Arrays.copyOf(all, cut), entries));
            assertTrue(entries.size() >= lastCount);
            lastCount = entries.size();
        }
        assertEquals(30, lastCount);
    }

    /** Counts complete records by the length prefixes alone, independently of the code under test. */
    private static int countWhole(byte[] all, int cut) {
        int at = 0;
        int count = 0;
        while (at + 8 <= cut) {
            int size = ByteBuffer.wrap(all, at, 4).getInt();
            if (at + 8 + size > cut) {
                break;
            }
            at += 8 + size;
            count++;
        }
        return count;
    }

    @Test
    void stopsAtACorruptedByteAndReadsNothingUnwritten() throws IOException {
        Path file = folder.resolve("log");
        List<String> treeAfterChange = writeLog(file);
        byte[] all = Files.readAllBytes(file);
        for (int i = 0; i < all.length; i++) {
            byte[] flipped = all.clone();
            flipped[i] ^= 0x41;
            assertTrue(treeAfterChange.contains(tree(flipped, new ArrayList<>())), "byte " + i);
        }
    }

    @Test
    void appendsAfterTheLastCompleteRecordOfATruncatedLog() throws IOException {
        Path file = folder.resolve("log");
        writeLog(file);
        byte[] all = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(all, all.length - 3));
        List<Entry> entries = new ArrayList<>();
        try (Journal journal = Journal.open(file, entries)) {
            assertEquals(29, entries.size());
            journal.append(Entry.closed(5, List.of()));
        }
        List<Entry> reread = new ArrayList<>();
        Journal.open(file, reread).close();
        assertEquals(30, reread.size());
    }

    @Test
    void snapshotReplacesTheLog() throws IOException {
        Path file = folder.resolve("log");
        writeLog(file);
        try (Journal journal = Journal.open(file, new ArrayList<>())) {
            journal.replace(List.of(Entry.opened(9, new byte[16], 4000)));
            journal.append(Entry.closed(9, List.of()));
            assertEquals(Files.size(file), journal.length());
        }
        List<Entry> entries = new ArrayList<>();
        Journal.open(file, entries).close();
        assertEquals(
                List.of(Entry.Kind.SESSION_OPENED, Entry.Kind.SESSION_CLOSED),
                entries.stream().map(Entry::kind).toList());
    }

    @Test
    void sessionExpiresWithoutRequestsAndResumesByPassword() {
        Sessions sessions = new Sessions(Duration.ofMillis(500), 1, new SplittableRandom(1));
        Sessions.Session session = sessions.open(Duration.ZERO, Duration.ofSeconds(3));
        assertEquals(Duration.ofSeconds(1), sessions.negotiatedTimeout(Duration.ofMillis(1)));
        assertEquals(List.of(), sessions.expired(Duration.ofMillis(2999)));
        sessions.touch(Duration.ofMillis(2999), session.id);
        assertEquals(List.of(), sessions.expired(Duration.ofMillis(5998)));
        assertNull(sessions.resume(Duration.ofMillis(5998), session.id, new byte[16]));
        assertNotNull(sessions.resume(Duration.ofMillis(5998), session.id, session.password));
        assertEquals(List.of(session.id), sessions.expired(Duration.ofMillis(9000)));
        assertNull(sessions.resume(Duration.ofMillis(9001), session.id, session.password));
    }
}
