package saltdale.nodes.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.Predicate;

/**
 * The data that a runner publishes about itself in its node.
 *
 * @param dial numeric address and port
 * @param machineClass class of machine ({@code class} in the node)
 * @param bornMillis start time of its process, Unix time in ms; 0 if it started long ago
 */
public record RunnerInfo(
        String dial, String site, String machineClass, int block, double share, long bornMillis, boolean draining) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_DATA_BYTES = 4096;

    /** Parses a node's data; null if it is invalid. Missing fields take their defaults. */
    public static RunnerInfo read(byte[] data) {
        if (data == null || data.length == 0 || data.length > MAX_DATA_BYTES) {
            return null;
        }
        JsonNode node;
        try {
            node = JSON.readTree(data);
        } catch (IOException e) {
            return null;
        }
        if (node == null
                || !node.isObject()
                || !node.path("dial").isTextual()
                || !node.path("dial").textValue().matches("[0-9a-fA-F.:\\[\\]]+:\\d{1,5}")
                || !isAbsentOr(node, "site", JsonNode::isTextual)
                || !isAbsentOr(node, "class", JsonNode::isTextual)
                || !isAbsentOr(node, "block", JsonNode::canConvertToInt)
                || !isAbsentOr(node, "share", JsonNode::isNumber)
                || !isAbsentOr(node, "born_ms", JsonNode::canConvertToLong)
                || !isAbsentOr(node, "draining", JsonNode::isBoolean)) {
            return null;
        }
        double share = node.path("share").asDouble(1);
        long born = node.path("born_ms").asLong(0);
        if (!(share > 0) || Double.isInfinite(share) || born < 0) {
            return null;
        }
        return new RunnerInfo(
                node.path("dial").textValue(),
                node.path("site").asText(""),
                node.path("class").asText(""),
                node.path("block").asInt(0),
                share,
                born,
                node.path("draining").asBoolean(false));
    }

    private static boolean isAbsentOr(JsonNode node, String name, Predicate<JsonNode> isValid) {
        return !node.has(name) || isValid.test(node.get(name));
    }

    /** The data to store in the runner's node. */
    public byte[] data() {
        ObjectNode node = JSON.createObjectNode();
        node.put("dial", dial)
                .put("site", site)
                .put("class", machineClass)
                .put("block", block)
                .put("share", share)
                .put("born_ms", bornMillis)
                .put("draining", draining);
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e); // cannot happen: plain fields are always serializable
        }
    }
}
