package saltdale.nodes.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import saltdale.nodes.tree.Tree.Change;
import saltdale.nodes.wire.MalformedRecordException;
import saltdale.nodes.wire.RecordReader;
import saltdale.nodes.wire.RecordWriter;

/**
 * The log from which a stand-in recovers its state after it was killed. Each record is preceded by its
 * length and CRC32C, and is synced before the change is acknowledged. Reading stops at the first
 * incomplete record: nothing after it was acknowledged.
 */
public final class Journal implements AutoCloseable {
    /** One acknowledged entry: changes that were applied together, or the opening or closing of a session. */
    public record Entry(Kind kind, List<Change> changes, long session, byte[] password, int timeoutMillis) {
        /** What the entry records; written to disk by position. */
        public enum Kind {
            CHANGES,
            SESSION_OPENED,
            SESSION_CLOSED
        }

        /** An entry for changes that are applied together. */
        public static Entry changes(List<Change> changes) {
            return new Entry(Kind.CHANGES, changes, 0, null, 0);
        }

        /** The opening of a session. */
        public static Entry opened(long session, byte[] password, int timeoutMillis) {
            return new Entry(Kind.SESSION_OPENED, List.of(), session, password, timeoutMillis);
        }

        /** The end of a session, together with the deletion of its ephemeral nodes. */
        public static Entry closed(long session, List<Change> changes) {
            return new Entry(Kind.SESSION_CLOSED, changes, session, null, 0);
        }

        private byte[] record() {
            RecordWriter out = new RecordWriter()
                    .writeInt(kind.ordinal())
                    .writeLong(session)
                    .writeBuffer(password)
                    .writeInt(timeoutMillis)
                    .writeInt(changes.size());
            for (Change c : changes) {
                out.writeLong(c.zxid())
                        .writeInt(c.kind().ordinal())
                        .writeString(c.path())
                        .writeBuffer(c.data())
                        .writeLong(c.owner())
                        .writeLong(c.atMillis());
            }
            return out.record();
        }

        private static Entry read(byte[] record) throws MalformedRecordException {
            RecordReader in = new RecordReader(record);
            int kind = in.readInt();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new MalformedRecordException("an entry of kind " + kind);
            }
            long session = in.readLong();
            byte[] password = in.readBuffer();
            int timeout = in.readInt();
            int count = in.readCount(36);
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                long zxid = in.readLong();
                int changeKind = in.readInt();
                if (changeKind < 0 || changeKind >= Change.Kind.values().length) {
                    throw new MalformedRecordException("a change of kind " + changeKind);
                }
                changes.add(new Change(
                        zxid,
                        Change.Kind.values()[changeKind],
                        in.readPath(),
                        in.readBuffer(),
                        in.readLong(),
                        in.readLong()));
            }
            in.expectEnd();
            return new Entry(Kind.values()[kind], changes, session, password, timeout);
        }
    }

    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 16 << 20;

    private final Path file;
    private FileChannel channel;
    private long length;

    private Journal(Path file, FileChannel channel, long length) {
        this.file = file;
        this.channel = channel;
        this.length = length;
    }

    /**
     * Opens or creates the log. Acknowledged entries are added to {@code entries}; an incomplete tail is
     * truncated.
     */
    public static Journal open(Path file, List<Entry> entries) throws IOException {
        byte[] all = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
        int validBytes = read(all, entries);
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.truncate(validBytes);
        channel.position(validBytes);
        channel.force(true);
        return new Journal(file, channel, validBytes);
    }

    /** Reads all complete records and returns the number of bytes that they occupy. */
    public static int read(byte[] all, List<Entry> entries) {
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.remaining() >= HEADER_BYTES) {
            int start = in.position();
            int size = in.getInt();
            int expectedChecksum = in.getInt();
            if (size < 0 || size > MAX_RECORD_BYTES || size > in.remaining()) {
                return start;
            }
            byte[] record = new byte[size];
            in.get(record);
            try {
                if (checksum(record) != expectedChecksum) {
                    return start;
                }
                entries.add(Entry.read(record));
            } catch (MalformedRecordException e) {
                return start;
            }
        }
        return in.position();
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    private static ByteBuffer framed(Entry entry) {
        byte[] record = entry.record();
        return ByteBuffer.allocate(HEADER_BYTES + record.length)
                .putInt(record.length)
                .putInt(checksum(record))
                .put(record)
                .flip();
    }

    /** Appends an entry; once this method has returned, the entry survives a kill of the process. */
    public void append(Entry entry) throws IOException {
        ByteBuffer bytes = framed(entry);
        length += bytes.remaining();
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
        channel.force(false);
    }

    /** Length of the log in bytes. */
    public long length() {
        return length;
    }

    /**
     * Replaces the log by a snapshot of these entries. If the process is killed at any moment, one of the
     * two files is complete.
     */
    public void replace(List<Entry> entries) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        long size = 0;
        try (FileChannel out = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (Entry each : entries) {
                ByteBuffer bytes = framed(each);
                size += bytes.remaining();
                while (bytes.hasRemaining()) {
                    out.write(bytes);
                }
            }
            out.force(true);
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        channel.close();
        channel = FileChannel.open(file, StandardOpenOption.WRITE);
        channel.position(size);
        length = size;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
