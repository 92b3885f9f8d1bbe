package saltdale.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * A whole configuration, compressed, which a proxy without a known base fetches part by part. {@code digest} is that of
 * the compressed bytes, {@code revision} and {@code treeDigest} are those of the configuration.
 */
public record ConfigurationSnapshot(long revision, String treeDigest, String digest, byte[] bytes) {
    /** The largest size of an uncompressed configuration, in bytes. */
    public static final int MAX_UNPACKED_BYTES = 64 << 20;

    /** Compresses a configuration. */
    public static ConfigurationSnapshot of(ConfigurationTree tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (OutputStream compressed = new DeflaterOutputStream(out)) {
            Trees.writeCbor(tree.toMap(), compressed);
        } catch (IOException e) {
            throw new IllegalStateException("the configuration cannot be compressed", e);
        }
        byte[] bytes = out.toByteArray();
        return new ConfigurationSnapshot(tree.revision(), tree.digest(), ConfigurationCodec.textDigest(bytes), bytes);
    }

    /** Decompresses a configuration, after checking the digest. */
    public static ConfigurationTree read(byte[] bytes, String digest) throws MalformedMessage {
        if (!ConfigurationCodec.textDigest(bytes).equals(digest)) {
            throw new MalformedMessage("configuration snapshot: digest mismatch");
        }
        try (InputStream unpacked = new LimitedStream(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
            return ConfigurationTree.of(Trees.fromCbor(unpacked));
        } catch (IOException e) {
            throw new MalformedMessage("configuration snapshot: " + e.getMessage());
        }
    }

    /** Ends with an exception after {@link #MAX_UNPACKED_BYTES}. */
    private static final class LimitedStream extends InputStream {
        private final InputStream in;
        private long count;

        LimitedStream(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            int value = in.read();
            count(value < 0 ? 0 : 1);
            return value;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            int read = in.read(buffer, offset, length);
            count(Math.max(0, read));
            return read;
        }

        private void count(int bytes) throws IOException {
            count += bytes;
            if (count > MAX_UNPACKED_BYTES) {
                throw new IOException("too large");
            }
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }
}
