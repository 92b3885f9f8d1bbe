package saltdale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.time.temporal.ChronoUnit;

/** The values of one wire message or settings object; a value of the wrong type is named in the complaint. */
final class Fields {
    private final String owner;
    private final JsonNode node;

    Fields(String owner, JsonNode node) {
        this.owner = owner;
        this.node = node;
    }

    static Duration micros(long value) {
        return Duration.of(value, ChronoUnit.MICROS);
    }

    MalformedInput wrong(String field, String wanted) {
        return new MalformedInput(owner + ": " + field + " is not " + wanted);
    }

    private JsonNode present(JsonNode value) {
        return value == null || value.isNull() ? null : value;
    }

    // By position, for messages and entries.

    private JsonNode at(int i) {
        return present(node.get(i));
    }

    /** The value as it came; null where absent. */
    JsonNode raw(int i) {
        return at(i);
    }

    String text(int i, String field) {
        String value = text(i, field, null);
        if (value == null) {
            throw wrong(field, "a text");
        }
        return value;
    }

    String text(int i, String field, String absent) {
        JsonNode value = at(i);
        if (value == null) {
            return absent;
        }
        if (!value.isTextual()) {
            throw wrong(field, "a text");
        }
        return value.textValue();
    }

    long whole(int i, String field) {
        JsonNode value = at(i);
        if (value == null || !value.isIntegralNumber() || !value.canConvertToLong()) {
            throw wrong(field, "a whole number");
        }
        return value.longValue();
    }

    /** A whole number of any size, cut to its low 64 bits. */
    long bits(int i, String field) {
        JsonNode value = at(i);
        if (value == null || !value.isIntegralNumber()) {
            throw wrong(field, "a whole number");
        }
        return value.bigIntegerValue().longValue();
    }

    long whole(int i, String field, long absent) {
        return at(i) == null ? absent : whole(i, field);
    }

    double number(int i, String field, double absent) {
        JsonNode value = at(i);
        if (value == null) {
            return absent;
        }
        if (!value.isNumber()) {
            throw wrong(field, "a number");
        }
        return value.doubleValue();
    }

    boolean flag(int i, String field) {
        JsonNode value = at(i);
        if (value == null) {
            return false;
        }
        if (!value.isBoolean()) {
            throw wrong(field, "true or false");
        }
        return value.booleanValue();
    }

    JsonNode array(int i, String field) {
        JsonNode value = at(i);
        if (value != null && !value.isArray()) {
            throw wrong(field, "an array");
        }
        return value;
    }

    Fields object(int i, String field) {
        JsonNode value = at(i);
        if (value == null || !value.isObject()) {
            throw wrong(field, "an object");
        }
        return new Fields(owner + "." + field, value);
    }

    // By key, for settings; every key may be absent.

    Fields object(String key) {
        JsonNode value = present(node.get(key));
        if (value != null && !value.isObject()) {
            throw wrong(key, "an object");
        }
        return new Fields(owner + "." + key, value == null ? JsonNodeFactory.instance.objectNode() : value);
    }

    JsonNode array(String key) {
        JsonNode value = present(node.get(key));
        if (value != null && !value.isArray()) {
            throw wrong(key, "an array");
        }
        return value == null ? JsonNodeFactory.instance.arrayNode() : value;
    }

    String text(String key, String absent) {
        JsonNode value = present(node.get(key));
        if (value == null) {
            return absent;
        }
        if (!value.isTextual()) {
            throw wrong(key, "a text");
        }
        return value.textValue();
    }

    boolean flag(String key, boolean absent) {
        JsonNode value = present(node.get(key));
        if (value == null) {
            return absent;
        }
        if (!value.isBoolean()) {
            throw wrong(key, "true or false");
        }
        return value.booleanValue();
    }

    double number(String key, double absent) {
        JsonNode value = present(node.get(key));
        if (value == null) {
            return absent;
        }
        if (!value.isNumber()) {
            throw wrong(key, "a number");
        }
        return value.doubleValue();
    }

    int whole(String key, int absent) {
        return (int) number(key, absent);
    }

    Duration span(String key, Duration absent) {
        JsonNode value = present(node.get(key));
        return value == null ? absent : micros((long) number(key, 0));
    }
}
