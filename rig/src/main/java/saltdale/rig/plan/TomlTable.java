package saltdale.rig.plan;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A table of a TOML file with checked access. Keys that were never read are rejected by {@link #rejectUnknownKeys()}.
 */
public final class TomlTable {
    private static final TomlMapper TOML = new TomlMapper();
    private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(us|ms|s|min|h)");

    private final String file;
    private final List<String> lines;
    private final String path;
    private final JsonNode node;
    private final Set<String> read = new HashSet<>();
    private final List<TomlTable> tables = new ArrayList<>();

    private TomlTable(String file, List<String> lines, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.node = node;
    }

    /** Reads a TOML file. */
    public static TomlTable read(Path file) {
        return of(file.toString(), readText(file));
    }

    /** Reads a UTF-8 file that a user has named. */
    public static String readText(Path file) {
        try {
            return Files.readString(file);
        } catch (MalformedInputException e) {
            throw new InvalidInputException(file + ": is not UTF-8 text");
        } catch (IOException e) {
            throw new InvalidInputException(file + ": can't be read: " + e.getMessage());
        }
    }

    /** Parses TOML text; {@code name} is the name of the file in error messages. */
    public static TomlTable of(String name, String text) {
        try {
            return new TomlTable(name, text.lines().toList(), "", TOML.readTree(text));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new InvalidInputException(name + (at == null ? "" : ": line " + at.getLineNr()) + ": invalid TOML: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Returns a copy with one value replaced.
     *
     * @param figure dotted path of the value; the elements of an array of tables are numbered from 0
     */
    public TomlTable with(String figure, Object value) {
        ObjectNode root = node.deepCopy();
        JsonNode at = root;
        String[] segments = figure.split("\\.");
        for (int i = 0; i < segments.length - 1; i++) {
            JsonNode next = at instanceof ArrayNode && segments[i].matches("\\d+")
                    ? at.get(Integer.parseInt(segments[i]))
                    : at.get(segments[i]);
            if (next == null && at instanceof ObjectNode table) {
                next = table.putObject(segments[i]);
            }
            at = next;
        }
        if (!(at instanceof ObjectNode table)) {
            throw new InvalidInputException(file + ": sweep: " + figure + " is not the path of a value in this file");
        }
        table.set(segments[segments.length - 1], TOML.valueToTree(value));
        return new TomlTable(file, lines, path, root);
    }

    public String file() {
        return file;
    }

    public boolean has(String key) {
        return node.has(key);
    }

    /** The subtable of this name; empty if it is absent. */
    public TomlTable table(String key) {
        JsonNode found = read(key);
        if (found != null && !found.isObject()) {
            throw invalid(key, found, "a table, [" + path + key + "]");
        }
        TomlTable part = new TomlTable(file, lines, path + key + ".", found == null ? TOML.createObjectNode() : found);
        tables.add(part);
        return part;
    }

    /** The array of tables of this name; empty if it is absent. */
    public List<TomlTable> tables(String key) {
        JsonNode found = read(key);
        List<TomlTable> rows = new ArrayList<>();
        if (found != null && !found.isArray()) {
            throw invalid(key, found, "tables, [[" + path + key + "]]");
        }
        for (int i = 0; found != null && i < found.size(); i++) {
            if (!found.get(i).isObject()) {
                throw invalid(key, found, "tables, [[" + path + key + "]]");
            }
            rows.add(new TomlTable(file, lines, path + key + "." + i + ".", found.get(i)));
        }
        tables.addAll(rows);
        return rows;
    }

    /** The string of this key, or {@code fallback} if it is absent; the methods for other types work alike. */
    public String string(String key, String fallback) {
        JsonNode found = read(key);
        if (found == null) {
            return fallback;
        } else if (!found.isTextual()) {
            throw invalid(key, found, "a quoted string");
        }
        return found.textValue();
    }

    /** The string of this key, which must be present. */
    public String required(String key) {
        String text = string(key, null);
        if (text == null) {
            throw missing(key, "a quoted string");
        }
        return text;
    }

    /** The enum constant whose name in lower case, with - for _, is the value of this key. */
    public <E extends Enum<E>> E enumValue(String key, E fallback) {
        String text = string(key, null);
        if (text == null) {
            return fallback;
        }
        E[] all = fallback.getDeclaringClass().getEnumConstants();
        List<String> words = new ArrayList<>();
        for (E each : all) {
            words.add(each.name().toLowerCase().replace('_', '-'));
            if (words.get(words.size() - 1).equals(text)) {
                return each;
            }
        }
        throw invalid(key, node.get(key), "one of " + String.join(", ", words));
    }

    public boolean bool(String key, boolean fallback) {
        JsonNode found = read(key);
        if (found != null && !found.isBoolean()) {
            throw invalid(key, found, "true or false");
        }
        return found == null ? fallback : found.booleanValue();
    }

    public double number(String key, double fallback, double min, double max) {
        JsonNode found = read(key);
        if (found == null) {
            return fallback;
        }
        double value = found.isNumber() ? found.doubleValue() : Double.NaN;
        if (!(value >= min && value <= max)) {
            throw invalid(key, found, "a number from " + formatNumber(min) + " to " + formatNumber(max));
        }
        return value;
    }

    public int integer(String key, int fallback, int min, int max) {
        double value = number(key, fallback, min, max);
        if (value != Math.rint(value)) {
            throw invalid(key, node.get(key), "a whole number from " + min + " to " + max);
        }
        return (int) value;
    }

    public Duration duration(String key, Duration fallback) {
        JsonNode found = read(key);
        if (found == null) {
            return fallback;
        }
        Duration span = found.isTextual() ? parseDuration(found.textValue()) : null;
        if (span == null) {
            throw invalid(key, found, "a duration such as \"250ms\": a number with us, ms, s, min or h");
        }
        return span;
    }

    public List<Integer> integers(String key) {
        JsonNode found = read(key);
        List<Integer> all = new ArrayList<>();
        if (found != null) {
            found.forEach(each -> {
                if (!each.canConvertToInt() || each.intValue() < 0) {
                    throw invalid(key, found, "a list of whole numbers from 0");
                }
                all.add(each.intValue());
            });
        }
        return all;
    }

    public List<String> strings(String key, List<String> fallback) {
        JsonNode found = read(key);
        if (found == null) {
            return fallback;
        }
        List<String> all = new ArrayList<>();
        found.forEach(each -> all.add(each.textValue()));
        if (!found.isArray() || all.contains(null)) {
            throw invalid(key, found, "a list of quoted strings");
        }
        return all;
    }

    /** All keys of this table, each with its list of scalar values. */
    public Map<String, List<Object>> valueLists() {
        Map<String, List<Object>> all = new TreeMap<>();
        node.fieldNames().forEachRemaining(key -> {
            JsonNode found = read(key);
            if (!found.isArray() || found.isEmpty()) {
                throw invalid(key, found, "a list of values");
            }
            List<Object> values = new ArrayList<>();
            found.forEach(each -> values.add(
                    each.isTextual()
                            ? each.textValue()
                            : each.isBoolean()
                                    ? (Object) each.booleanValue()
                                    : each.isIntegralNumber()
                                            ? (Object) each.longValue()
                                            : (Object) each.doubleValue()));
            all.put(key, values);
        });
        return all;
    }

    /** Parses a duration such as {@code 250ms}; null if the text is not one. */
    public static Duration parseDuration(String text) {
        Matcher m = DURATION.matcher(text.strip());
        if (!m.matches()) {
            return null;
        }
        double nanos = switch (m.group(2)) {
            case "us" -> 1e3;
            case "ms" -> 1e6;
            case "s" -> 1e9;
            case "min" -> 60e9;
            default -> 3600e9;
        };
        return Duration.ofNanos(Math.round(Double.parseDouble(m.group(1)) * nanos));
    }

    /** Marks keys as known that another reader of the file evaluates. */
    public void ignore(String... keys) {
        read.addAll(List.of(keys));
    }

    /** Rejects keys that were never read, so that a misspelt key does not silently have no effect. */
    public void rejectUnknownKeys() {
        node.fieldNames().forEachRemaining(key -> {
            if (!read.contains(key)) {
                throw new InvalidInputException(location(key) + ": unknown key"
                        + (read.isEmpty() ? "" : "; known keys: " + String.join(", ", new TreeSet<>(read))));
            }
        });
        tables.forEach(TomlTable::rejectUnknownKeys);
    }

    /** The exception for a missing key. */
    public InvalidInputException missing(String key, String expected) {
        return new InvalidInputException(location(key) + ": missing; expected " + expected);
    }

    /** The exception for an invalid value; {@code expected} completes the message "... is not". */
    public InvalidInputException invalid(String key, String expected) {
        return invalid(key, node.get(key), expected);
    }

    private InvalidInputException invalid(String key, JsonNode found, String expected) {
        return new InvalidInputException(location(key) + ": " + found + " is not " + expected);
    }

    private JsonNode read(String key) {
        read.add(key);
        return node.get(key);
    }

    private String location(String key) {
        int line = line(key);
        return file + (line == 0 ? "" : ": line " + line) + ": " + path + key;
    }

    /** The line of the key, found by the header of its table and its name; 0 if it is not found. */
    private int line(String key) {
        String[] segments = path.isEmpty()
                ? new String[0]
                : path.substring(0, path.length() - 1).split("\\.");
        int row = segments.length > 0 && segments[segments.length - 1].matches("\\d+")
                ? Integer.parseInt(segments[segments.length - 1])
                : 0;
        String table = String.join(
                ".", Arrays.stream(segments).filter(s -> !s.matches("\\d+")).toList());
        String currentTable = "";
        int seen = -1;
        Pattern keyLine = Pattern.compile("\\s*" + Pattern.quote(key) + "\\s*=.*");
        Pattern inline = Pattern.compile(".*[{,]\\s*" + Pattern.quote(key) + "\\s*=.*");
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.startsWith("[")) {
                currentTable = line.replaceAll("[\\[\\]]|#.*", "").strip();
                seen += currentTable.equals(table) ? 1 : 0;
            } else if (currentTable.equals(table) && keyLine.matcher(line).matches() && (table.isEmpty() || seen == row)
                    || !table.isEmpty()
                            && !currentTable.equals(table)
                            && table.startsWith(currentTable)
                            && inline.matcher(line).matches()) {
                return i + 1;
            }
        }
        return 0;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
