package saltdale.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Typed access to the values of one wire message or settings object; errors name the field. */
public final class JsonFields {
    private final String owner;
    private final JsonNode node;

    public JsonFields(String owner, JsonNode node) {
        this.owner = owner;
        this.node = node;
    }

    /** A duration in microseconds. */
    public static Duration micros(long value) {
        return Duration.of(value, ChronoUnit.MICROS);
    }

    /** An error saying that the field is not what is expected. */
    public MalformedInputException invalid(String field, String expected) {
        return new MalformedInputException(owner + ": " + field + " is not " + expected);
    }

    private static JsonNode present(JsonNode value) {
        return value == null || value.isNull() ? null : value;
    }

    /** The value, or null if absent; throws if it is present with another type. */
    private JsonNode checked(JsonNode value, String field, Predicate<JsonNode> type, String expected) {
        JsonNode present = present(value);
        if (present != null && !type.test(present)) {
            throw invalid(field, expected);
        }
        return present;
    }

    private String string(JsonNode value, String field, String defaultValue) {
        JsonNode string = checked(value, field, JsonNode::isTextual, "a string");
        return string == null ? defaultValue : string.textValue();
    }

    private double number(JsonNode value, String field, double defaultValue) {
        JsonNode number = checked(value, field, JsonNode::isNumber, "a number");
        return number == null ? defaultValue : number.doubleValue();
    }

    private boolean bool(JsonNode value, String field, boolean defaultValue) {
        JsonNode flag = checked(value, field, JsonNode::isBoolean, "true or false");
        return flag == null ? defaultValue : flag.booleanValue();
    }

    private JsonNode integer(JsonNode value, String field, Predicate<JsonNode> type) {
        return required(checked(value, field, type, "an integer"), field, "an integer");
    }

    private <T> T required(T value, String field, String expected) {
        if (value == null) {
            throw invalid(field, expected);
        }
        return value;
    }

    // Access by position, for messages and list entries.

    /** The unchecked value; null if absent. */
    public JsonNode raw(int i) {
        return present(node.get(i));
    }

    public String string(int i, String field) {
        return required(string(i, field, null), field, "a string");
    }

    public String string(int i, String field, String defaultValue) {
        return string(node.get(i), field, defaultValue);
    }

    public long integer(int i, String field) {
        return integer(node.get(i), field, v -> v.isIntegralNumber() && v.canConvertToLong())
                .longValue();
    }

    /** An integer of any size, truncated to its low 64 bits. */
    public long low64Bits(int i, String field) {
        return integer(node.get(i), field, JsonNode::isIntegralNumber)
                .bigIntegerValue()
                .longValue();
    }

    public long integer(int i, String field, long defaultValue) {
        return raw(i) == null ? defaultValue : integer(i, field);
    }

    public double number(int i, String field, double defaultValue) {
        return number(node.get(i), field, defaultValue);
    }

    public boolean bool(int i, String field) {
        return bool(node.get(i), field, false);
    }

    public JsonNode array(int i, String field) {
        return checked(node.get(i), field, JsonNode::isArray, "an array");
    }

    public JsonFields object(int i, String field) {
        JsonNode value = checked(node.get(i), field, JsonNode::isObject, "an object");
        return new JsonFields(owner + "." + field, required(value, field, "an object"));
    }

    // Access by key, for settings; every key may be absent.

    public JsonFields object(String key) {
        JsonNode value = checked(node.get(key), key, JsonNode::isObject, "an object");
        return new JsonFields(owner + "." + key, value == null ? JsonNodeFactory.instance.objectNode() : value);
    }

    public JsonNode array(String key) {
        JsonNode value = checked(node.get(key), key, JsonNode::isArray, "an array");
        return value == null ? JsonNodeFactory.instance.arrayNode() : value;
    }

    public boolean has(String key) {
        return present(node.get(key)) != null;
    }

    /** Rejects unknown keys, for tables defined by this project alone: a misspelt key would have no effect. */
    public void rejectUnknownKeys(String... known) {
        node.fieldNames().forEachRemaining(key -> {
            if (!List.of(known).contains(key)) {
                throw invalid(key, "a key that is known here; known: " + String.join(", ", known));
            }
        });
    }

    /** Merges another object over this one, key by key; lists are replaced as a whole. */
    public JsonFields mergedWith(JsonFields overrides) {
        return new JsonFields(overrides.owner, merge(node, overrides.node));
    }

    private static JsonNode merge(JsonNode base, JsonNode override) {
        if (base == null || !base.isObject() || !override.isObject()) {
            return override;
        }
        ObjectNode merged = base.deepCopy();
        override.fields()
                .forEachRemaining(
                        entry -> merged.set(entry.getKey(), merge(base.get(entry.getKey()), entry.getValue())));
        return merged;
    }

    /** The objects in an array. */
    public List<JsonFields> objects(String key) {
        List<JsonFields> objects = new ArrayList<>();
        array(key).forEach(entry -> objects.add(new JsonFields(owner + "." + key, entry)));
        return objects;
    }

    public String string(String key, String defaultValue) {
        return string(node.get(key), key, defaultValue);
    }

    /** The strings in an array; unless {@code allowed} is empty, throws for one that it does not contain. */
    public List<String> strings(String key, List<String> allowed) {
        List<String> strings = new ArrayList<>();
        for (JsonNode element : array(key)) {
            String string = string(element, key + " entry", null);
            if (string == null || !allowed.isEmpty() && !allowed.contains(string)) {
                throw invalid(
                        key, "a list of names" + (allowed.isEmpty() ? "" : " among " + String.join(", ", allowed)));
            }
            strings.add(string);
        }
        return strings;
    }

    /** One of the allowed strings. */
    public String oneOf(String key, String defaultValue, List<String> allowed) {
        String string = string(key, defaultValue);
        if (!allowed.contains(string)) {
            throw invalid(key, "one of " + String.join(", ", allowed));
        }
        return string;
    }

    public boolean bool(String key, boolean defaultValue) {
        return bool(node.get(key), key, defaultValue);
    }

    public double number(String key, double defaultValue) {
        return number(node.get(key), key, defaultValue);
    }

    /** A number that is not less than the minimum. */
    public double numberAtLeast(String key, double defaultValue, double minimum) {
        double number = number(key, defaultValue);
        if (number < minimum || Double.isNaN(number)) {
            throw invalid(key, "a number of at least " + minimum);
        }
        return number;
    }

    public int integer(String key, int defaultValue) {
        return (int) number(key, defaultValue);
    }

    public Duration duration(String key, Duration defaultValue) {
        return present(node.get(key)) == null ? defaultValue : micros((long) number(key, 0));
    }
}
