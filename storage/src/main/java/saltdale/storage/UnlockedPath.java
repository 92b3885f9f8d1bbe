package saltdale.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import org.h2.store.fs.FileBase;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * Files of the system without locks. Guards against systems on which two files look alike to the JVM, which then
 * refuses
 * the second lock; that one process alone has the folder its owner sees to, by the address that it listens on.
 */
public final class UnlockedPath extends FilePathWrapper {
    private static final String SCHEME = "unlocked";

    static {
        FilePath.register(new UnlockedPath());
    }

    /** For the store's library, which makes one for each path. */
    public UnlockedPath() {}

    /** A folder of the system's as a store names it. */
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
        public int read(ByteBuffer to) throws IOException {
            return base.read(to);
        }

        @Override
        public int read(ByteBuffer to, long at) throws IOException {
            return base.read(to, at);
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            return base.write(from);
        }

        @Override
        public int write(ByteBuffer from, long at) throws IOException {
            return base.write(from, at);
        }

        @Override
        public long position() throws IOException {
            return base.position();
        }

        @Override
        public FileChannel position(long at) throws IOException {
            base.position(at);
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
        public void force(boolean alsoLength) throws IOException {
            base.force(alsoLength);
        }

        @Override
        public FileLock tryLock(long at, long size, boolean shared) {
            return new FileLock(this, at, size, shared) {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void release() {
                    // nothing is held
                }
            };
        }

        @Override
        protected void implCloseChannel() throws IOException {
            base.close();
        }
    }
}
