package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * A change of the configuration as an operator sent it. One that is sent again as it was has the same digest. What it
 * comes to is worked out when it is needed and only once, however many ballots it takes.
 */
final class ConfigurationUpdate {
    private final boolean amends;
    private final long base;
    private final byte[] body;
    private final byte[] digest;
    private Map<String, Object> tree;
    private ConfigurationVersion result;
    private String resultOf; // the key of the version that an amendment was applied to

    /** {@code amends}: names single items, else a whole configuration; {@code base}: the revision it builds on. */
    ConfigurationUpdate(boolean amends, long base, byte[] body) {
        this.amends = amends;
        this.base = base;
        this.body = body;
        byte[] kind = {(byte) (amends ? 1 : 0)};
        byte[] basedOn = Long.toString(base).getBytes(StandardCharsets.UTF_8);
        digest = Arrays.copyOf(ConfigurationCodec.digest(kind, basedOn, body), RecentChanges.DIGEST_BYTES);
    }

    long baseRevision() {
        return base;
    }

    /** Tells it from other orders on the same base. */
    byte[] digest() {
        return digest;
    }

    /** Whether what it comes to depends on the version that it builds on. */
    boolean isAmendment() {
        return amends;
    }

    /** The version that follows this one by the order; {@code newest} is null for a whole configuration. */
    ConfigurationVersion applyTo(ConfigurationVersion newest) throws InvalidConfiguration {
        String key = newest == null ? "" : newest.key();
        if (result == null || !key.equals(resultOf)) {
            tree = tree == null ? ConfigurationCodec.read(body) : tree;
            Map<String, Object> present = newest == null ? Map.of() : newest.tree();
            result = ConfigurationVersion.of(amends ? ConfigurationCodec.amend(present, new Fields(tree)) : tree);
            resultOf = key;
        }
        return result;
    }
}
