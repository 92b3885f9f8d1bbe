package saltdale.storage;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.mapdb.BTreeMap;
import org.mapdb.DB;
import org.mapdb.DataInput2;
import org.mapdb.Serializer;
import org.mapdb.StoreWAL;
import org.mapdb.volume.FileChannelVol;
import org.mapdb.volume.Volume;
import org.mapdb.volume.VolumeFactory;

/**
 * A record store in MapDB with its write-ahead log, as made by
 * {@code DBMaker.fileDB(...).fileChannelEnable().transactionEnable()}, on files whose calls are recorded in a
 * {@link SimulatedDisk}. {@link PowerCutTest} shows what it loses.
 */
final class MapDbRecordStore implements RecordStore {
    private final Path folder;
    private final SimulatedDisk disk;
    private final DB db;
    private final BTreeMap<String, byte[]> records;

    MapDbRecordStore(Path folder, SimulatedDisk disk) throws IOException {
        this.folder = folder;
        this.disk = disk;
        for (Map.Entry<String, byte[]> entry : disk.currentFiles().entrySet()) {
            Files.write(folder.resolve(entry.getKey()), entry.getValue());
        }
        boolean isNew = !disk.exists("vault");
        // The same arguments as DBMaker passes, with the header checksum enabled.
        StoreWAL store = StoreWAL.make(
                folder.resolve("vault").toString(),
                new RecordingVolumeFactory(),
                0L,
                true,
                3,
                0L,
                0L,
                false,
                false,
                false,
                true,
                false);
        db = new DB(store, !isNew, false, MapDbRecordStore.class.getClassLoader(), 0);
        records =
                db.treeMap("records", Serializer.STRING, Serializer.BYTE_ARRAY).createOrOpen();
        db.commit();
        recordDeletedFiles();
    }

    @Override
    public Map<String, byte[]> read() {
        Map<String, byte[]> all = new TreeMap<>();
        for (String name : records.getKeys()) {
            all.put(name, records.get(name));
        }
        return all;
    }

    @Override
    public void write(Map<String, byte[]> changes) {
        changes.forEach((name, bytes) -> {
            if (bytes == null) {
                records.remove(name);
            } else {
                records.put(name, bytes);
            }
        });
        db.commit();
        recordDeletedFiles();
    }

    @Override
    public void close() {
        db.close();
        recordDeletedFiles();
        for (String name : disk.currentFiles().keySet()) {
            folder.resolve(name).toFile().delete();
        }
        folder.toFile().delete();
    }

    /** Records on the simulated disk that MapDB has deleted files, which it does without a call to the volume. */
    private void recordDeletedFiles() {
        for (String name : disk.currentFiles().keySet()) {
            if (!Files.exists(folder.resolve(name))) {
                try {
                    disk.delete(name);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    /** Creates volumes whose calls are recorded on the simulated disk. */
    private final class RecordingVolumeFactory extends VolumeFactory {
        @Override
        public Volume makeVolume(
                String file, boolean readOnly, long lockWait, int sliceShift, long initSize, boolean fixed) {
            recordDeletedFiles();
            try {
                return new RecordingVolume(
                        FileChannelVol.FACTORY.makeVolume(file, readOnly, lockWait, sliceShift, initSize, fixed),
                        disk.open(new File(file).getName()));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public boolean exists(String file) {
            return new File(file).exists();
        }

        @Override
        public boolean handlesReadonly() {
            return true;
        }
    }

    /** Applies each change both to the simulated disk and to the real file. */
    private final class RecordingVolume extends Volume {
        private final Volume delegate;
        private final int file;

        RecordingVolume(Volume delegate, int file) {
            this.delegate = delegate;
            this.file = file;
        }

        private void write(long position, byte[] bytes) {
            recordDeletedFiles();
            try {
                disk.write(file, position, bytes);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            delegate.putData(position, bytes, 0, bytes.length);
        }

        @Override
        public void ensureAvailable(long size) {
            delegate.ensureAvailable(size);
            recordLength();
        }

        private void recordLength() {
            try {
                if (delegate.length() != disk.contents(file).length) {
                    disk.setLength(file, delegate.length());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void truncate(long size) {
            delegate.truncate(size);
            recordLength();
        }

        @Override
        public void putLong(long position, long value) {
            write(position, ByteBuffer.allocate(8).putLong(value).array());
        }

        @Override
        public void putInt(long position, int value) {
            write(position, ByteBuffer.allocate(4).putInt(value).array());
        }

        @Override
        public void putByte(long position, byte value) {
            write(position, new byte[] {value});
        }

        @Override
        public void putData(long position, byte[] source, int offset, int count) {
            write(position, Arrays.copyOfRange(source, offset, offset + count));
        }

        @Override
        public void putData(long position, ByteBuffer source) {
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            write(position, bytes);
        }

        @Override
        public void clear(long start, long end) {
            write(start, new byte[(int) (end - start)]);
        }

        @Override
        public long getLong(long position) {
            return delegate.getLong(position);
        }

        @Override
        public int getInt(long position) {
            return delegate.getInt(position);
        }

        @Override
        public byte getByte(long position) {
            return delegate.getByte(position);
        }

        @Override
        public DataInput2 getDataInput(long position, int size) {
            return delegate.getDataInput(position, size);
        }

        @Override
        public void getData(long position, byte[] target, int offset, int count) {
            delegate.getData(position, target, offset, count);
        }

        @Override
        public void close() {
            recordDeletedFiles();
            delegate.close();
        }

        @Override
        public void sync() {
            recordDeletedFiles();
            delegate.sync();
            try {
                disk.sync(file);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public int sliceSize() {
            return delegate.sliceSize();
        }

        @Override
        public boolean isSliced() {
            return delegate.isSliced();
        }

        @Override
        public long length() {
            return delegate.length();
        }

        @Override
        public boolean isReadOnly() {
            return delegate.isReadOnly();
        }

        @Override
        public File getFile() {
            return delegate.getFile();
        }

        @Override
        public boolean getFileLocked() {
            return delegate.getFileLocked();
        }
    }
}
