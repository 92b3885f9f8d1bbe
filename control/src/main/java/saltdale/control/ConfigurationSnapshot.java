package saltdale.control;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * A whole configuration, compressed, which a proxy without a known base fetches part by part; the digest is that of the
 * compressed bytes.
 */
public record ConfigurationSnapshot(ConfigurationTree tree, String digest, byte[] bytes) {
    /** The largest size of an uncompressed configuration, in bytes. */
    public static final int MAX_UNPACKED_BYTES = 64 << 20;

    private static final int BLOCK_BYTES = 16_384;

    /** Compresses a configuration. */
    public static ConfigurationSnapshot of(ConfigurationTree tree) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(Trees.toCbor(tree.toMap()));
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(BLOCK_BYTES);
            byte[] block = new byte[BLOCK_BYTES];
            while (!deflater.finished()) {
                out.write(block, 0, deflater.deflate(block));
            }
            byte[] bytes = out.toByteArray();
            return new ConfigurationSnapshot(tree, ConfigurationCodec.textDigest(bytes), bytes);
        } finally {
            deflater.end();
        }
    }

    /** Decompresses a configuration, after checking the digest. */
    public static ConfigurationTree read(byte[] bytes, String digest) throws MalformedMessage {
        if (!ConfigurationCodec.textDigest(bytes).equals(digest)) {
            throw new MalformedMessage("configuration snapshot: digest mismatch");
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length * 8);
            byte[] block = new byte[BLOCK_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(block);
                if (count == 0 && !inflater.finished() || out.size() + count > MAX_UNPACKED_BYTES) {
                    throw new MalformedMessage("configuration snapshot: truncated or too large");
                }
                out.write(block, 0, count);
            }
            return ConfigurationTree.of(Trees.fromCbor(out.toByteArray()));
        } catch (DataFormatException e) {
            throw new MalformedMessage("configuration snapshot: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
