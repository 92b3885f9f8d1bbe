package saltdale.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Parses load reports, which are written as {@code name=value,name=value} or as a JSON object of numbers. */
public final class LoadReportParser {
    private static final double MAX_VALUE = 1e9;

    private LoadReportParser() {}

    /** Returns the values of a report in either format by name, or null if the text is malformed. */
    public static Map<String, Double> parse(byte[] text) {
        String pairs = new String(text, StandardCharsets.ISO_8859_1).strip();
        if (!pairs.startsWith("{")) {
            return parsePairs(pairs);
        }
        try {
            JsonReader json = new JsonReader(text);
            Map<String, Double> values = parseObject(json);
            json.expectEnd();
            return values;
        } catch (JsonReader.MalformedJsonException e) {
            return null;
        }
    }

    static Map<String, Double> parseObject(JsonReader json) throws JsonReader.MalformedJsonException {
        Map<String, Double> values = new HashMap<>();
        json.readObject(name -> {
            if (!json.consumeNull()) {
                putIfPlausible(values, name, json.readNumber());
            }
        });
        return values;
    }

    /** Returns the values of {@code name=value,name=value}, or null if the text is null or a pair lacks its "=". */
    public static Map<String, Double> parsePairs(String text) {
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
                putIfPlausible(
                        values,
                        pair.substring(0, equals).strip(),
                        Double.parseDouble(pair.substring(equals + 1).strip()));
            } catch (NumberFormatException e) {
                // All known values are numeric, so this one is of an unknown kind.
            }
        }
        return values;
    }

    /** Ignores values that no machine can have, as if they were not reported. */
    private static void putIfPlausible(Map<String, Double> values, String name, double value) {
        if (value >= 0 && value <= MAX_VALUE) {
            values.put(name, value);
        }
    }
}
