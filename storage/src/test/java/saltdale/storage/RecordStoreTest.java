package saltdale.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordStoreTest {
    @TempDir
    Path folder;

    private static byte[] randomBytes(Random random, int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    @Test
    void emptyDiskReadsAsEmpty() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (RecordStore recordStore = RecordStore.open(folder.resolve("a/b"))) {
                assertThat(recordStore.read(), is(anEmptyMap()));
            }
        }
    }

    @Test
    void recordsAreAddedReplacedAndRemoved() throws Exception {
        try (RecordStore recordStore = RecordStore.open(folder)) {
            recordStore.write(Map.of("a", new byte[] {1}, "b", new byte[300_000], "c", new byte[0]));
            recordStore.write(Map.of("a", new byte[] {2, 3}));
            recordStore.write(Collections.singletonMap("b", null));
            recordStore.write(Collections.singletonMap("never there", null));
            recordStore.write(Map.of());
            assertThat(recordStore.read().keySet(), is(Set.of("a", "c")));
        }
        for (int i = 0; i < 3; i++) {
            try (RecordStore recordStore = RecordStore.open(folder)) {
                assertThat(recordStore.read().keySet(), is(Set.of("a", "c")));
                assertThat(recordStore.read().get("a"), is(new byte[] {2, 3}));
                assertThat(recordStore.read().get("c"), is(new byte[0]));
                recordStore.write(Map.of());
            }
        }
    }

    @Test
    void arraysOfTheCallerAreCopied() throws Exception {
        try (RecordStore recordStore = RecordStore.open(folder)) {
            byte[] value = {1};
            recordStore.write(Map.of("a", value));
            value[0] = 2;
            recordStore.read().get("a")[0] = 3;
            assertThat(recordStore.read().get("a"), is(new byte[] {1}));
        }
    }

    @Test
    void emptyRecordNameIsRejected() throws Exception {
        try (RecordStore recordStore = RecordStore.open(folder)) {
            assertThrows(IllegalArgumentException.class, () -> recordStore.write(Map.of("", new byte[1])));
            assertThat(recordStore.read(), is(anEmptyMap()));
        }
    }

    @Test
    void unreadableDiskIsNotTakenForAnEmptyOne() throws Exception {
        Files.write(folder.resolve("vault.a"), new byte[20_000]);
        assertThrows(RecordStoreException.class, () -> RecordStore.open(folder));
        Files.write(folder.resolve("vault.a"), new byte[0]);
        assertThrows(RecordStoreException.class, () -> RecordStore.open(folder));
        Files.write(folder.resolve("vault.b"), randomBytes(new Random(1), 20_000));
        assertThrows(RecordStoreException.class, () -> RecordStore.open(folder));
        Path file = Files.createFile(folder.resolve("file"));
        assertThrows(RecordStoreException.class, () -> RecordStore.open(file));
    }

    /** A copy that another record store has open must not be taken for a torn one. */
    @Test
    void folderCanBeOpenedOnlyOnceAtATime() throws Exception {
        try (RecordStore recordStore = RecordStore.open(folder)) {
            recordStore.write(Map.of("a", new byte[] {1}));
            recordStore.write(Map.of("a", new byte[] {2}));
            recordStore.write(Map.of("a", new byte[] {3}));
            assertThrows(RecordStoreException.class, () -> RecordStore.open(folder));
            recordStore.write(Map.of("a", new byte[] {4}));
            assertThat(recordStore.read().get("a"), is(new byte[] {4}));
        }
        try (RecordStore recordStore = RecordStore.open(folder)) {
            assertThat(recordStore.read().get("a"), is(new byte[] {4}));
        }
    }

    @Test
    void damagedCopyIsNeverReadInPart() throws Exception {
        Random random = new Random(7);
        SimulatedDisk disk = new SimulatedDisk();
        Map<String, ByteBuffer> last = Map.of();
        List<Map<String, ByteBuffer>> earlier = new ArrayList<>();
        try (RecordStore recordStore = PowerCutTest.open(disk)) {
            for (int i = 0; i < 30; i++) {
                Map<String, byte[]> changes = PowerCutRuns.randomChanges(random, 20_000);
                recordStore.write(changes);
                earlier.add(last);
                last = PowerCutRuns.withChanges(last, changes);
            }
        }
        for (int i = 0; i < 500; i++) {
            Map<String, byte[]> files = new TreeMap<>(disk.currentFiles());
            boolean both = i % 4 == 3;
            for (String name : both ? files.keySet() : Set.of(i % 2 == 0 ? "vault.a" : "vault.b")) {
                files.put(name, damage(random, files.get(name)));
            }
            try (RecordStore recordStore = PowerCutTest.open(new SimulatedDisk(files))) {
                Map<String, ByteBuffer> found = PowerCutRuns.state(recordStore.read());
                if (both) {
                    assertThat("damage " + i, found, anyOf(equalTo(last), in(earlier)));
                } else {
                    assertThat("damage " + i, found, anyOf(equalTo(last), equalTo(earlier.get(earlier.size() - 1))));
                }
            } catch (RecordStoreException e) {
                assertThat("damage " + i + ": " + e.getCause(), both);
            }
        }
    }

    /** With a torn inner page, all records can be present in a copy without being found by their names. */
    @Test
    void damagedNameIsDetected() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        Map<String, byte[]> all = new TreeMap<>();
        try (RecordStore recordStore = PowerCutTest.open(disk)) {
            for (int i = 0; i < 40; i++) {
                Map<String, byte[]> change =
                        Map.of("record " + (char) ('A' + i % 20), randomBytes(new Random(i), 5000));
                all.putAll(change);
                recordStore.write(change);
            }
            recordStore.write(Map.of());
        }
        int damagedNames = 0;
        for (String file : Set.of("vault.a", "vault.b")) {
            String text = new String(disk.currentFiles().get(file), StandardCharsets.ISO_8859_1);
            for (int at = text.indexOf("record "); at >= 0; at = text.indexOf("record ", at + 1), damagedNames++) {
                for (int bit = 0; bit < 2; bit++) {
                    Map<String, byte[]> files = disk.currentFiles();
                    files.get(file)[at + 7] ^= (byte) (1 << bit);
                    try (RecordStore recordStore = PowerCutTest.open(new SimulatedDisk(files))) {
                        assertThat(PowerCutRuns.state(recordStore.read()), is(PowerCutRuns.state(all)));
                    }
                }
            }
        }
        assertThat(damagedNames, is(greaterThan(60)));
    }

    /** Truncates the file, flips bits in it or overwrites a part of it. */
    private static byte[] damage(Random random, byte[] bytes) {
        switch (random.nextInt(4)) {
            case 0:
                return Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 1:
                return Arrays.copyOf(bytes, bytes.length - random.nextInt(100));
            case 2:
                byte[] flipped = bytes.clone();
                int tail = random.nextBoolean() ? bytes.length : 5000;
                for (int i = random.nextInt(20); i >= 0; i--) {
                    flipped[bytes.length - 1 - random.nextInt(tail)] ^= (byte) (1 << random.nextInt(8));
                }
                return flipped;
            default:
                byte[] overwritten = bytes.clone();
                int start = random.nextInt(bytes.length);
                byte[] garbage = randomBytes(random, Math.min(bytes.length - start, 1 + random.nextInt(20_000)));
                System.arraycopy(garbage, 0, overwritten, start, garbage.length);
                return overwritten;
        }
    }

    @Test
    void fullDiskFailsTheWriteOnly() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        try (RecordStore recordStore = PowerCutTest.open(disk)) {
            recordStore.write(Map.of("a", new byte[] {1}));
            for (int i = 0; i < 3; i++) {
                disk.capacityBytes = disk.usedBytes() + 100_000;
                assertThrows(RecordStoreException.class, () -> recordStore.write(Map.of("b", new byte[300_000])));
                assertThat(recordStore.read().keySet(), is(Set.of("a")));
                recordStore.write(Map.of("a", new byte[] {2}));
                disk.capacityBytes = Long.MAX_VALUE;
                recordStore.write(Map.of("a", new byte[] {3}, "c", new byte[300_000]));
                recordStore.write(Collections.singletonMap("c", null));
                assertThat(recordStore.read().get("a"), is(new byte[] {3}));
            }
        }
    }

    /** Overwritten records must not fill up a disk of 128 MB. */
    @Test
    void filesStaySmall() throws Exception {
        Random random = new Random(3);
        SimulatedDisk disk = new SimulatedDisk();
        disk.recording = false;
        Map<String, byte[]> all = new HashMap<>();
        long maxRecordBytes = 0;
        try (RecordStore recordStore = PowerCutTest.open(disk)) {
            for (int i = 0; i < 2000; i++) {
                Map<String, byte[]> changes = new TreeMap<>();
                for (int j = random.nextInt(3); j >= 0; j--) {
                    int size = random.nextInt(random.nextInt(8) == 0 ? 300_000 : 3000);
                    changes.put("r" + random.nextInt(30), randomBytes(random, size));
                }
                recordStore.write(changes);
                all.putAll(changes);
                maxRecordBytes = Math.max(
                        maxRecordBytes,
                        all.values().stream().mapToLong(each -> each.length).sum());
            }
            assertThat(PowerCutRuns.state(recordStore.read()), is(PowerCutRuns.state(all)));
        }
        System.out.println(maxRecordBytes + " bytes of records, " + disk.peakBytes + " bytes on the disk, "
                + disk.syncCount + " syncs");
        assertThat(disk.peakBytes, is(lessThan(6 * maxRecordBytes + 3_000_000)));
        assertThat(disk.syncCount, is(lessThan(2000 * 11 / 10)));
    }

    @Test
    void noThreadsOrDescriptorsLeak() throws Exception {
        Set<Thread> threads = Thread.getAllStackTraces().keySet();
        long descriptors = openDescriptors();
        for (int i = 0; i < 20; i++) {
            try (RecordStore recordStore = RecordStore.open(folder)) {
                recordStore.write(Map.of("a", randomBytes(new Random(i), 50_000)));
                Set<Thread> newThreads =
                        new HashSet<>(Thread.getAllStackTraces().keySet());
                newThreads.removeAll(threads);
                newThreads.removeIf(each ->
                        !each.getName().contains("MVStore") && !each.getName().contains("H2"));
                assertThat(newThreads, is(Set.of()));
            }
            Files.write(folder.resolve("vault.b"), randomBytes(new Random(i), 20_000));
            Files.write(folder.resolve("vault.b"), Arrays.copyOf(Files.readAllBytes(folder.resolve("vault.a")), 9000));
        }
        assertThat(openDescriptors(), is(lessThanOrEqualTo(descriptors + 5)));
    }

    private static long openDescriptors() throws Exception {
        try (var all = Files.list(Path.of("/proc/self/fd"))) {
            return all.count();
        }
    }
}
