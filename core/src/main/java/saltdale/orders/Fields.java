package saltdale.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The values of one wire message or settings object; a value of the wrong type is named in the complaint. */
public final class Fields {
    private final String owner;
    private final JsonNode node;

    public Fields(String owner, JsonNode node) {
        this.owner = owner;
        this.node = node;
    }

    public static Duration micros(long value) {
        return Duration.of(value, ChronoUnit.MICROS);
    }

    public MalformedInput wrong(String field, String wanted) {
        return new MalformedInput(owner + ": " + field + " is not " + wanted);
    }

    private static JsonNode present(JsonNode value) {
        return value == null || value.isNull() ? null : value;
    }

    /** The value, or null where absent; complains of one that is there and not of this type. */
    private JsonNode checked(JsonNode value, String field, Predicate<JsonNode> type, String wanted) {
        JsonNode present = present(value);
        if (present != null && !type.test(present)) {
            throw wrong(field, wanted);
        }
        return present;
    }

    private String text(JsonNode value, String field, String absent) {
        JsonNode text = checked(value, field, JsonNode::isTextual, "a text");
        return text == null ? absent : text.textValue();
    }

    private double number(JsonNode value, String field, double absent) {
        JsonNode number = checked(value, field, JsonNode::isNumber, "a number");
        return number == null ? absent : number.doubleValue();
    }

    private boolean flag(JsonNode value, String field, boolean absent) {
        JsonNode flag = checked(value, field, JsonNode::isBoolean, "true or false");
        return flag == null ? absent : flag.booleanValue();
    }

    private JsonNode whole(JsonNode value, String field, Predicate<JsonNode> type) {
        return required(checked(value, field, type, "a whole number"), field, "a whole number");
    }

    private <T> T required(T value, String field, String wanted) {
        if (value == null) {
            throw wrong(field, wanted);
        }
        return value;
    }

    // By position, for messages and entries.

    /** The value as it came; null where absent. */
    public JsonNode raw(int i) {
        return present(node.get(i));
    }

    public String text(int i, String field) {
        return required(text(i, field, null), field, "a text");
    }

    public String text(int i, String field, String absent) {
        return text(node.get(i), field, absent);
    }

    public long whole(int i, String field) {
        return whole(node.get(i), field, v -> v.isIntegralNumber() && v.canConvertToLong())
                .longValue();
    }

    /** A whole number of any size, cut to its low 64 bits. */
    public long bits(int i, String field) {
        return whole(node.get(i), field, JsonNode::isIntegralNumber)
                .bigIntegerValue()
                .longValue();
    }

    public long whole(int i, String field, long absent) {
        return raw(i) == null ? absent : whole(i, field);
    }

    public double number(int i, String field, double absent) {
        return number(node.get(i), field, absent);
    }

    public boolean flag(int i, String field) {
        return flag(node.get(i), field, false);
    }

    public JsonNode array(int i, String field) {
        return checked(node.get(i), field, JsonNode::isArray, "an array");
    }

    public Fields object(int i, String field) {
        JsonNode value = checked(node.get(i), field, JsonNode::isObject, "an object");
        return new Fields(owner + "." + field, required(value, field, "an object"));
    }

    // By key, for settings; every key may be absent.

    public Fields object(String key) {
        JsonNode value = checked(node.get(key), key, JsonNode::isObject, "an object");
        return new Fields(owner + "." + key, value == null ? JsonNodeFactory.instance.objectNode() : value);
    }

    public JsonNode array(String key) {
        JsonNode value = checked(node.get(key), key, JsonNode::isArray, "an array");
        return value == null ? JsonNodeFactory.instance.arrayNode() : value;
    }

    public boolean has(String key) {
        return present(node.get(key)) != null;
    }

    /** Guards against a key that is misspelt and so silently has no effect, in tables that are ours alone. */
    public void only(String... known) {
        node.fieldNames().forEachRemaining(key -> {
            if (!List.of(known).contains(key)) {
                throw wrong(key, "a key that is known here; known: " + String.join(", ", known));
            }
        });
    }

    /** These values with those of another object laid over them, key by key; lists are replaced whole. */
    public Fields with(Fields over) {
        return new Fields(over.owner, laidOver(node, over.node));
    }

    private static JsonNode laidOver(JsonNode below, JsonNode above) {
        if (below == null || !below.isObject() || !above.isObject()) {
            return above;
        }
        ObjectNode both = below.deepCopy();
        above.fields()
                .forEachRemaining(each -> both.set(each.getKey(), laidOver(below.get(each.getKey()), each.getValue())));
        return both;
    }

    /** The objects of an array. */
    public List<Fields> rows(String key) {
        List<Fields> rows = new ArrayList<>();
        array(key).forEach(entry -> rows.add(new Fields(owner + "." + key, entry)));
        return rows;
    }

    public String text(String key, String absent) {
        return text(node.get(key), key, absent);
    }

    /** The texts of an array; complains of one that is not among these, where there are any. */
    public List<String> texts(String key, List<String> known) {
        List<String> texts = new ArrayList<>();
        for (JsonNode each : array(key)) {
            String text = text(each, key + " entry", null);
            if (text == null || !known.isEmpty() && !known.contains(text)) {
                throw wrong(key, "a list of names" + (known.isEmpty() ? "" : " among " + String.join(", ", known)));
            }
            texts.add(text);
        }
        return texts;
    }

    /** One of these words. */
    public String word(String key, String absent, List<String> words) {
        String word = text(key, absent);
        if (!words.contains(word)) {
            throw wrong(key, "one of " + String.join(", ", words));
        }
        return word;
    }

    public boolean flag(String key, boolean absent) {
        return flag(node.get(key), key, absent);
    }

    public double number(String key, double absent) {
        return number(node.get(key), key, absent);
    }

    /** A number that is no less than this one. */
    public double least(String key, double absent, double least) {
        double number = number(key, absent);
        if (number < least || Double.isNaN(number)) {
            throw wrong(key, "a number of at least " + least);
        }
        return number;
    }

    public int whole(String key, int absent) {
        return (int) number(key, absent);
    }

    public Duration span(String key, Duration absent) {
        return present(node.get(key)) == null ? absent : micros((long) number(key, 0));
    }
}
