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
 * A record store in MapDB with its log, as {@code DBMaker.fileDB(...).fileChannelEnable().transactionEnable()}
 * makes it, on
 * files whose every call is told to a {@link CutDisk}; see {@link PowerCutTest} for what it loses.
 */
final class MapDbRecordStore implements RecordStore {
    private final Path folder;
    private final CutDisk disk;
    private final DB db;
    private final BTreeMap<String, byte[]> records;

    MapDbRecordStore(Path folder, CutDisk disk) throws IOException {
        this.folder = folder;
        this.disk = disk;
        for (Map.Entry<String, byte[]> entry : disk.live().entrySet()) {
            Files.write(folder.resolve(entry.getKey()), entry.getValue());
        }
        boolean made = !disk.exists("vault");
        // As DBMaker calls it, with the checksum of the header.
        StoreWAL store = StoreWAL.make(
                folder.resolve("vault").toString(), new Told(), 0L, true, 3, 0L, 0L, false, false, false, true, false);
        db = new DB(store, !made, false, MapDbRecordStore.class.getClassLoader(), 0);
        records =
                db.treeMap("records", Serializer.STRING, Serializer.BYTE_ARRAY).createOrOpen();
        db.commit();
        seeDeleted();
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
        seeDeleted();
    }

    @Override
    public void close() {
        db.close();
        seeDeleted();
        for (String name : disk.live().keySet()) {
            folder.resolve(name).toFile().delete();
        }
        folder.toFile().delete();
    }

    private void seeDeleted() {
        for (String name : disk.live().keySet()) {
            if (!Files.exists(folder.resolve(name))) {
                try {
                    disk.delete(name);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    private final class Told extends VolumeFactory {
        @Override
        public Volume makeVolume(
                String file, boolean readOnly, long lockWait, int sliceShift, long initSize, boolean fixed) {
            seeDeleted();
            try {
                return new Recorder(
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

    private final class Recorder extends Volume {
        private final Volume real;
        private final int file;

        Recorder(Volume real, int file) {
            this.real = real;
            this.file = file;
        }

        private void told(long position, byte[] bytes) {
            seeDeleted();
            try {
                disk.write(file, position, bytes);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            real.putData(position, bytes, 0, bytes.length);
        }

        @Override
        public void ensureAvailable(long size) {
            real.ensureAvailable(size);
            grown();
        }

        private void grown() {
            try {
                if (real.length() != disk.contents(file).length) {
                    disk.length(file, real.length());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void truncate(long size) {
            real.truncate(size);
            grown();
        }

        @Override
        public void putLong(long position, long value) {
            told(position, ByteBuffer.allocate(8).putLong(value).array());
        }

        @Override
        public void putInt(long position, int value) {
            told(position, ByteBuffer.allocate(4).putInt(value).array());
        }

        @Override
        public void putByte(long position, byte value) {
            told(position, new byte[] {value});
        }

        @Override
        public void putData(long position, byte[] from, int offset, int count) {
            told(position, Arrays.copyOfRange(from, offset, offset + count));
        }

        @Override
        public void putData(long position, ByteBuffer from) {
            byte[] bytes = new byte[from.remaining()];
            from.get(bytes);
            told(position, bytes);
        }

        @Override
        public void clear(long from, long to) {
            told(from, new byte[(int) (to - from)]);
        }

        @Override
        public long getLong(long position) {
            return real.getLong(position);
        }

        @Override
        public int getInt(long position) {
            return real.getInt(position);
        }

        @Override
        public byte getByte(long position) {
            return real.getByte(position);
        }

        @Override
        public DataInput2 getDataInput(long position, int size) {
            return real.getDataInput(position, size);
        }

        @Override
        public void getData(long position, byte[] to, int offset, int count) {
            real.getData(position, to, offset, count);
        }

        @Override
        public void close() {
            seeDeleted();
            real.close();
        }

        @Override
        public void sync() {
            seeDeleted();
            real.sync();
            try {
                disk.sync(file);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public int sliceSize() {
            return real.sliceSize();
        }

        @Override
        public boolean isSliced() {
            return real.isSliced();
        }

        @Override
        public long length() {
            return real.length();
        }

        @Override
        public boolean isReadOnly() {
            return real.isReadOnly();
        }

        @Override
        public File getFile() {
            return real.getFile();
        }

        @Override
        public boolean getFileLocked() {
            return real.getFileLocked();
        }
    }
}
