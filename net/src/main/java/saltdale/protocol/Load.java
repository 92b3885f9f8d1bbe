package saltdale.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A load report's values by name: in pairs, name=value,name=value, or as a JSON object of numbers. */
public final class Load {
    private static final double MOST = 1e9;

    private Load() {}

    /** The values of a report; null where the text is none. */
    public static Map<String, Double> read(byte[] text) {
        String pairs = new String(text, StandardCharsets.ISO_8859_1).strip();
        if (!pairs.startsWith("{")) {
            return pairs(pairs);
        }
        try {
            JsonReader json = new JsonReader(text);
            Map<String, Double> values = object(json);
            json.end();
            return values;
        } catch (JsonReader.Malformed e) {
            return null;
        }
    }

    static Map<String, Double> object(JsonReader json) throws JsonReader.Malformed {
        Map<String, Double> values = new HashMap<>();
        json.object(name -> {
            if (!json.isNull()) {
                put(values, name, json.number());
            }
        });
        return values;
    }

    /** Values written as name=value,name=value; null where they are not, or where there is no text. */
    public static Map<String, Double> pairs(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        if (text.isBlank()) {
            return values;
        }
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                return null;
            }
            try {
                put(
                        values,
                        pair.substring(0, equals).strip(),
                        Double.parseDouble(pair.substring(equals + 1).strip()));
            } catch (NumberFormatException e) {
                // a value that is no number is none of those that are known
            }
        }
        return values;
    }

    /** Guards against figures that no machine has: one of those counts as not told. */
    private static void put(Map<String, Double> values, String name, double value) {
        if (value >= 0 && value <= MOST) {
            values.put(name, value);
        }
    }
}
