package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * A change of the configuration as an operator sent it. A retry of the same change has the same digest. The resulting
 * version is computed on demand and cached, however many ballots the change takes.
 */
final class ConfigurationUpdate {
    private final boolean isAmendment;
    private final long baseRevision;
    private final byte[] body;
    private final byte[] digest;
    private Map<String, Object> tree;
    private ConfigurationVersion result;
    private String resultBaseKey; // key of the version that result was computed from

    /**
     * Creates an update. {@code isAmendment}: the body sets and removes single items, rather than holding a whole
     * configuration; {@code baseRevision}: the revision that the update is based on.
     */
    ConfigurationUpdate(boolean isAmendment, long baseRevision, byte[] body) {
        this.isAmendment = isAmendment;
        this.baseRevision = baseRevision;
        this.body = body;
        byte[] kind = {(byte) (isAmendment ? 1 : 0)};
        byte[] basedOn = Long.toString(baseRevision).getBytes(StandardCharsets.UTF_8);
        digest = Arrays.copyOf(ConfigurationCodec.digest(kind, basedOn, body), RecentChanges.DIGEST_BYTES);
    }

    /** The revision that the update is based on. */
    long baseRevision() {
        return baseRevision;
    }

    /** The size of the update as the operator sent it. */
    int bytes() {
        return body.length;
    }

    /** Distinguishes this update from others with the same base revision. */
    byte[] digest() {
        return digest;
    }

    /** Whether the result depends on the version that the update is based on. */
    boolean isAmendment() {
        return isAmendment;
    }

    /** The version that results from applying this update; {@code newest} is {@code null} for a whole configuration. */
    ConfigurationVersion applyTo(ConfigurationVersion newest) throws InvalidConfiguration {
        String key = newest == null ? "" : newest.key();
        if (result == null || !key.equals(resultBaseKey)) {
            tree = tree == null ? ConfigurationCodec.readOrder(body) : tree;
            Map<String, Object> present =
                    newest == null ? Map.of() : newest.tree().toMap();
            result = ConfigurationVersion.of(isAmendment ? ConfigurationCodec.amend(present, new Fields(tree)) : tree);
            resultBaseKey = key;
        }
        return result;
    }
}
