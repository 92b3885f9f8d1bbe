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

/** One table of a TOML file, read with checks: what nobody has read when the file is closed was not meant. */
public final class Sheet {
    private static final TomlMapper TOML = new TomlMapper();
    private static final Pattern SPAN = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(us|ms|s|min|h)");

    private final String file;
    private final List<String> lines;
    private final String path;
    private final JsonNode node;
    private final Set<String> read = new HashSet<>();
    private final List<Sheet> parts = new ArrayList<>();

    private Sheet(String file, List<String> lines, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.node = node;
    }

    public static Sheet read(Path file) {
        return of(file.toString(), text(file));
    }

    /** The text of a file that a user has named. */
    public static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (MalformedInputException e) {
            throw new Misread(file + ": is not UTF-8 text");
        } catch (IOException e) {
            throw new Misread(file + ": can't be read: " + e.getMessage());
        }
    }

    public static Sheet of(String name, String text) {
        try {
            return new Sheet(name, text.lines().toList(), "", TOML.readTree(text));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new Misread(name + (at == null ? "" : ": line " + at.getLineNr()) + ": is no TOML: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * The same file with one figure replaced, by its dotted path; rows of tables go by their number from 0.
     */
    public Sheet with(String figure, Object value) {
        ObjectNode root = node.deepCopy();
        JsonNode at = root;
        String[] steps = figure.split("\\.");
        for (int i = 0; i < steps.length - 1; i++) {
            JsonNode next = at instanceof ArrayNode && steps[i].matches("\\d+")
                    ? at.get(Integer.parseInt(steps[i]))
                    : at.get(steps[i]);
            if (next == null && at instanceof ObjectNode table) {
                next = table.putObject(steps[i]);
            }
            at = next;
        }
        if (!(at instanceof ObjectNode table)) {
            throw new Misread(file + ": sweep: " + figure + " names no figure of this file");
        }
        table.set(steps[steps.length - 1], TOML.valueToTree(value));
        return new Sheet(file, lines, path, root);
    }

    public String file() {
        return file;
    }

    public boolean has(String key) {
        return node.has(key);
    }

    /** The table of this name; an empty one where there is none. */
    public Sheet part(String key) {
        JsonNode found = take(key);
        if (found != null && !found.isObject()) {
            throw wrong(key, found, "a table, [" + path + key + "]");
        }
        Sheet part = new Sheet(file, lines, path + key + ".", found == null ? TOML.createObjectNode() : found);
        parts.add(part);
        return part;
    }

    public List<Sheet> rows(String key) {
        JsonNode found = take(key);
        List<Sheet> rows = new ArrayList<>();
        if (found != null && !found.isArray()) {
            throw wrong(key, found, "tables, [[" + path + key + "]]");
        }
        for (int i = 0; found != null && i < found.size(); i++) {
            if (!found.get(i).isObject()) {
                throw wrong(key, found, "tables, [[" + path + key + "]]");
            }
            rows.add(new Sheet(file, lines, path + key + "." + i + ".", found.get(i)));
        }
        parts.addAll(rows);
        return rows;
    }

    public String text(String key, String absent) {
        JsonNode found = take(key);
        if (found == null) {
            return absent;
        } else if (!found.isTextual()) {
            throw wrong(key, found, "a text in quotes");
        }
        return found.textValue();
    }

    public String required(String key) {
        String text = text(key, null);
        if (text == null) {
            throw lacks(key, "a text in quotes");
        }
        return text;
    }

    public <E extends Enum<E>> E word(String key, E absent) {
        String text = text(key, null);
        if (text == null) {
            return absent;
        }
        E[] all = absent.getDeclaringClass().getEnumConstants();
        List<String> words = new ArrayList<>();
        for (E each : all) {
            words.add(each.name().toLowerCase().replace('_', '-'));
            if (words.get(words.size() - 1).equals(text)) {
                return each;
            }
        }
        throw wrong(key, node.get(key), "one of " + String.join(", ", words));
    }

    public boolean flag(String key, boolean absent) {
        JsonNode found = take(key);
        if (found != null && !found.isBoolean()) {
            throw wrong(key, found, "true or false");
        }
        return found == null ? absent : found.booleanValue();
    }

    public double number(String key, double absent, double least, double most) {
        JsonNode found = take(key);
        if (found == null) {
            return absent;
        }
        double value = found.isNumber() ? found.doubleValue() : Double.NaN;
        if (!(value >= least && value <= most)) {
            throw wrong(key, found, "a number from " + plain(least) + " to " + plain(most));
        }
        return value;
    }

    public int whole(String key, int absent, int least, int most) {
        double value = number(key, absent, least, most);
        if (value != Math.rint(value)) {
            throw wrong(key, node.get(key), "a whole number from " + least + " to " + most);
        }
        return (int) value;
    }

    public Duration span(String key, Duration absent) {
        JsonNode found = take(key);
        if (found == null) {
            return absent;
        }
        Duration span = found.isTextual() ? span(found.textValue()) : null;
        if (span == null) {
            throw wrong(key, found, "a span such as \"250ms\": a number with us, ms, s, min or h");
        }
        return span;
    }

    public List<Integer> wholes(String key) {
        JsonNode found = take(key);
        List<Integer> all = new ArrayList<>();
        if (found != null) {
            found.forEach(each -> {
                if (!each.canConvertToInt() || each.intValue() < 0) {
                    throw wrong(key, found, "a list of whole numbers from 0");
                }
                all.add(each.intValue());
            });
        }
        return all;
    }

    public List<String> texts(String key, List<String> absent) {
        JsonNode found = take(key);
        if (found == null) {
            return absent;
        }
        List<String> all = new ArrayList<>();
        found.forEach(each -> all.add(each.textValue()));
        if (!found.isArray() || all.contains(null)) {
            throw wrong(key, found, "a list of texts in quotes");
        }
        return all;
    }

    /** The keys of this table, each with its list of plain values. */
    public Map<String, List<Object>> lists() {
        Map<String, List<Object>> all = new TreeMap<>();
        node.fieldNames().forEachRemaining(key -> {
            JsonNode found = take(key);
            if (!found.isArray() || found.isEmpty()) {
                throw wrong(key, found, "a list of values");
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

    /** Reads a span; null where the text is none. */
    public static Duration span(String text) {
        Matcher m = SPAN.matcher(text.strip());
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

    /** These keys are somebody else's: neither read nor unknown. */
    public void leave(String... keys) {
        read.addAll(List.of(keys));
    }

    /** All has been read: guards against a key that is misspelt and so silently has no effect. */
    public void close() {
        node.fieldNames().forEachRemaining(key -> {
            if (!read.contains(key)) {
                throw new Misread(place(key) + ": is no key that is known here"
                        + (read.isEmpty() ? "" : "; known: " + String.join(", ", new TreeSet<>(read))));
            }
        });
        parts.forEach(Sheet::close);
    }

    public Misread lacks(String key, String wanted) {
        return new Misread(place(key) + ": is missing; wanted: " + wanted);
    }

    public Misread wrong(String key, String wanted) {
        return wrong(key, node.get(key), wanted);
    }

    private Misread wrong(String key, JsonNode found, String wanted) {
        return new Misread(place(key) + ": " + found + " is not " + wanted);
    }

    private JsonNode take(String key) {
        read.add(key);
        return node.get(key);
    }

    private String place(String key) {
        int line = line(key);
        return file + (line == 0 ? "" : ": line " + line) + ": " + path + key;
    }

    /** The line on which the key stands, by its table's header and its name; 0 where that can't be told. */
    private int line(String key) {
        String[] steps = path.isEmpty()
                ? new String[0]
                : path.substring(0, path.length() - 1).split("\\.");
        int row = steps.length > 0 && steps[steps.length - 1].matches("\\d+")
                ? Integer.parseInt(steps[steps.length - 1])
                : 0;
        String table = String.join(
                ".", Arrays.stream(steps).filter(s -> !s.matches("\\d+")).toList());
        String open = "";
        int seen = -1;
        Pattern here = Pattern.compile("\\s*" + Pattern.quote(key) + "\\s*=.*");
        Pattern inline = Pattern.compile(".*[{,]\\s*" + Pattern.quote(key) + "\\s*=.*");
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.startsWith("[")) {
                open = line.replaceAll("[\\[\\]]|#.*", "").strip();
                seen += open.equals(table) ? 1 : 0;
            } else if (open.equals(table) && here.matcher(line).matches() && (table.isEmpty() || seen == row)
                    || !table.isEmpty()
                            && !open.equals(table)
                            && table.startsWith(open)
                            && inline.matcher(line).matches()) {
                return i + 1;
            }
        }
        return 0;
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
