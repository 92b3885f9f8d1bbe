package saltdale.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import org.h2.store.fs.FileBase;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * An MVStore file system that accesses regular files without locking them. On some systems the JVM takes two different
 * files for the same one and refuses the second lock. The owner of the folder ensures exclusive use of it in another
 * way, by the address that it listens on.
 */
public final class UnlockedPath extends FilePathWrapper {
    private static final String SCHEME = "unlocked";

    static {
        FilePath.register(new UnlockedPath());
    }

    /** Required by MVStore, which creates an instance for each path. */
    public UnlockedPath() {}

    /** Returns the MVStore path of a folder of the default file system. */
    static String of(String folder) {
        return SCHEME + ":" + folder;
    }

    @Override
    public String getScheme() {
        return SCHEME;
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        return new UnlockedChannel(super.open(mode));
    }

    private static final class UnlockedChannel extends FileBase {
        private final FileChannel base;

        UnlockedChannel(FileChannel base) {
            this.base = base;
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            return base.read(target);
        }

        @Override
        public int read(ByteBuffer target, long position) throws IOException {
            return base.read(target, position);
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            return base.write(source);
        }

        @Override
        public int write(ByteBuffer source, long position) throws IOException {
            return base.write(source, position);
        }

        @Override
        public long position() throws IOException {
            return base.position();
        }

        @Override
        public FileChannel position(long position) throws IOException {
            base.position(position);
            return this;
        }

        @Override
        public long size() throws IOException {
            return base.size();
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            base.truncate(size);
            return this;
        }

        @Override
        public void force(boolean metaData) throws IOException {
            base.force(metaData);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) {
            return new FileLock(this, position, size, shared) {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void release() {
                    // there is no lock to release
                }
            };
        }

        @Override
        protected void implCloseChannel() throws IOException {
            base.close();
        }
    }
}
