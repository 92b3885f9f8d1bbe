package saltdale.storage;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.mvstore.DataUtils;
import org.h2.store.fs.FileBase;
import org.h2.store.fs.FilePath;

/** An MVStore file system on {@link SimulatedDisk}s, with paths of the form {@code cut:NUMBER/NAME}. */
final class SimulatedDiskPath extends FilePath {
    private static final Map<String, SimulatedDisk> DISKS = new ConcurrentHashMap<>();
    private static int nextDiskNumber;

    static {
        FilePath.register(new SimulatedDiskPath(""));
    }

    private SimulatedDiskPath(String path) {
        name = path;
    }

    /** Returns a path under which the folder of the disk can be opened until another disk is mounted. */
    static synchronized String mount(SimulatedDisk disk) {
        DISKS.values().removeIf(each -> each != disk);
        String number = Integer.toString(nextDiskNumber++);
        DISKS.put(number, disk);
        return "cut:" + number;
    }

    private SimulatedDisk disk() {
        String rest = name.substring(4);
        return DISKS.get(rest.contains("/") ? rest.substring(0, rest.indexOf('/')) : rest);
    }

    private String fileName() {
        return name.substring(name.indexOf('/') + 1);
    }

    @Override
    public long size() {
        try {
            return disk().exists(fileName()) ? disk().contents(disk().open(fileName())).length : 0;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void moveTo(FilePath to, boolean atomicReplace) {
        try {
            disk().rename(fileName(), ((SimulatedDiskPath) to).fileName());
        } catch (IOException e) {
            throw DataUtils.newMVStoreException(DataUtils.ERROR_WRITING_FAILED, "rename", e);
        }
    }

    @Override
    public boolean createFile() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean exists() {
        return isDirectory() || disk().exists(fileName());
    }

    @Override
    public void delete() {
        try {
            if (exists()) {
                disk().delete(fileName());
            }
        } catch (IOException e) {
            throw DataUtils.newMVStoreException(DataUtils.ERROR_WRITING_FAILED, "delete", e);
        }
    }

    @Override
    public List<FilePath> newDirectoryStream() {
        throw new UnsupportedOperationException();
    }

    @Override
    public FilePath toRealPath() {
        return this;
    }

    @Override
    public FilePath getParent() {
        return isDirectory() ? null : new SimulatedDiskPath(name.substring(0, name.indexOf('/')));
    }

    @Override
    public boolean isDirectory() {
        return name.indexOf('/') < 0;
    }

    @Override
    public boolean isRegularFile() {
        return !isDirectory() && exists();
    }

    @Override
    public boolean isAbsolute() {
        return true;
    }

    @Override
    public long lastModified() {
        return 0;
    }

    @Override
    public boolean canWrite() {
        return true;
    }

    @Override
    public void createDirectory() {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        if (mode.equals("r") && !exists()) {
            throw new FileNotFoundException(name);
        }
        return new Channel(disk(), disk().open(fileName()));
    }

    @Override
    public boolean setReadOnly() {
        return false;
    }

    @Override
    public String getScheme() {
        return "cut";
    }

    @Override
    public FilePath getPath(String path) {
        return new SimulatedDiskPath(path);
    }

    private static final class Channel extends FileBase {
        private final SimulatedDisk disk;
        private final int file;
        private long position;

        Channel(SimulatedDisk disk, int file) {
            this.disk = disk;
            this.file = file;
        }

        @Override
        public int read(ByteBuffer target) {
            int count = read(target, position);
            position += Math.max(0, count);
            return count;
        }

        @Override
        public int read(ByteBuffer target, long offset) {
            SimulatedDisk.Contents contents = disk.contents(file);
            int count = (int) Math.min(target.remaining(), contents.length - offset);
            if (count <= 0) {
                return target.hasRemaining() ? -1 : 0;
            }
            target.put(contents.bytes, (int) offset, count);
            return count;
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            int count = write(source, position);
            position += count;
            return count;
        }

        @Override
        public int write(ByteBuffer source, long offset) throws IOException {
            byte[] bytes = new byte[source.remaining()];
            source.get(bytes);
            disk.write(file, offset, bytes);
            return bytes.length;
        }

        @Override
        public long position() {
            return position;
        }

        @Override
        public FileChannel position(long newPosition) {
            position = newPosition;
            return this;
        }

        @Override
        public long size() {
            return disk.contents(file).length;
        }

        @Override
        public FileChannel truncate(long length) throws IOException {
            if (length < size()) {
                disk.setLength(file, length);
            }
            return this;
        }

        @Override
        public void force(boolean metaData) throws IOException {
            disk.sync(file);
        }

        @Override
        public FileLock tryLock(long start, long size, boolean shared) {
            return new FileLock(this, start, size, shared) {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void release() {}
            };
        }
    }
}
