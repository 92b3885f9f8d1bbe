package saltdale.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts trees of maps, lists, strings, numbers, byte arrays and booleans to and from CBOR (used between processes)
 * and JSON. Trees that are read must not be changed.
 */
public final class Trees {
    private static final int MAX_CBOR_DEPTH = 32;
    /** Smaller messages are not kept, so that saving memory is not worth the time. */
    private static final int MIN_COMPACT_MESSAGE_BYTES = 4 << 10;
    /** Lower than that of CBOR: what arrives as JSON is passed on inside messages, some levels deeper. */
    private static final int MAX_JSON_DEPTH = 24;

    private static final char REPLACEMENT_CHARACTER = '\ufffd';

    private Trees() {}

    private static final class Cbor {
        static final JsonFactory FACTORY = new CBORFactory();
    }

    private static final class Json {
        static final JsonFactory FACTORY = new JsonFactory();
    }

    /** Encodes a tree as CBOR. */
    public static byte[] toCbor(Object tree) {
        return encode(Cbor.FACTORY, tree);
    }

    /** Encodes a tree as JSON. */
    public static byte[] toJson(Object tree) {
        return encode(Json.FACTORY, tree);
    }

    /** Writes a tree as CBOR, without holding the whole encoding in memory. */
    static void writeCbor(Object tree, OutputStream out) throws IOException {
        try (JsonGenerator generator = Cbor.FACTORY.createGenerator(out)) {
            write(generator, tree);
        }
    }

    /** Parses a CBOR object. */
    public static Map<String, Object> fromCbor(byte[] bytes) throws MalformedMessage {
        return fromCbor(new ByteArrayInputStream(bytes));
    }

    /** Parses a CBOR object, up to the end of the stream. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> fromCbor(InputStream in) throws MalformedMessage {
        return (Map<String, Object>) decode(
                () -> Cbor.FACTORY.createParser(in), JsonToken.START_OBJECT, "object", new Reader(MAX_CBOR_DEPTH));
    }

    /** Parses a CBOR array, the outer form of messages between processes. */
    @SuppressWarnings("unchecked")
    public static List<Object> listFromCbor(byte[] bytes) throws MalformedMessage {
        Reader reader = new Reader(MAX_CBOR_DEPTH);
        reader.compacts = bytes.length >= MIN_COMPACT_MESSAGE_BYTES;
        return (List<Object>) decode(() -> Cbor.FACTORY.createParser(bytes), JsonToken.START_ARRAY, "array", reader);
    }

    /** Parses a JSON object. */
    public static Map<String, Object> fromJson(byte[] bytes) throws MalformedMessage {
        return fromJson(bytes, new Reader(MAX_JSON_DEPTH));
    }

    /**
     * Parses a JSON object of at most {@code maxValues} values: objects, lists and what they hold, which take memory
     * beyond that of the text. Numbers without a fraction are integers in the result, however they are written.
     */
    static Map<String, Object> fromJson(byte[] bytes, int maxValues) throws MalformedMessage {
        Reader reader = new Reader(MAX_JSON_DEPTH);
        reader.maxValues = maxValues;
        reader.normalizesNumbers = true;
        return fromJson(bytes, reader);
    }

    /**
     * Parses a JSON object that an earlier release has accepted, in which each unpaired surrogate is replaced by the
     * replacement character. Numbers without a fraction are integers in the result.
     */
    static Map<String, Object> fromJsonWithRepairs(byte[] bytes) throws MalformedMessage {
        Reader reader = new Reader(MAX_CBOR_DEPTH);
        reader.repairs = true;
        reader.normalizesNumbers = true;
        return fromJson(bytes, reader);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> fromJson(byte[] bytes, Reader reader) throws MalformedMessage {
        return (Map<String, Object>)
                decode(() -> Json.FACTORY.createParser(bytes), JsonToken.START_OBJECT, "object", reader);
    }

    /** Returns how many values a tree consists of: objects, lists and what they hold. */
    static int valueCount(Object tree) {
        int count = 1;
        if (tree instanceof Map<?, ?> map) {
            for (Object value : map.values()) {
                count += valueCount(value);
            }
        } else if (tree instanceof List<?> list) {
            for (Object value : list) {
                count += valueCount(value);
            }
        }
        return count;
    }

    private static byte[] encode(JsonFactory factory, Object tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = factory.createGenerator(out)) {
            write(generator, tree);
        } catch (IOException e) {
            throw new IllegalStateException("the tree cannot be encoded", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator generator, Object tree) throws IOException {
        if (tree == null) {
            generator.writeNull();
        } else if (tree instanceof String text) {
            generator.writeString(text);
        } else if (tree instanceof Integer number) {
            generator.writeNumber(number);
        } else if (tree instanceof Long number) {
            generator.writeNumber(number);
        } else if (tree instanceof Number number) {
            generator.writeNumber(number.doubleValue());
        } else if (tree instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (tree instanceof byte[] bytes) {
            generator.writeBinary(bytes);
        } else if (tree instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (tree instanceof List<?> list) {
            generator.writeStartArray();
            for (Object element : list) {
                write(generator, element);
            }
            generator.writeEndArray();
        } else {
            throw new IllegalArgumentException("not allowed in a tree: " + tree.getClass());
        }
    }

    private interface ParserFactory {
        JsonParser create() throws IOException;
    }

    private static Object decode(ParserFactory factory, JsonToken firstToken, String kind, Reader reader)
            throws MalformedMessage {
        try (JsonParser parser = factory.create()) {
            if (parser.nextToken() != firstToken) {
                throw new MalformedMessage("not an " + kind);
            }
            Object tree = reader.value(parser, 0);
            if (parser.nextToken() != null) {
                throw new MalformedMessage("unexpected data after the " + kind);
            }
            return tree;
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessage("cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Reads trees that can be written again in either form. */
    private static final class Reader {
        private static final int MAX_SHARED_VALUES = 4096;
        private static final int MAX_SHARED_TEXT_CHARACTERS = 64;
        private static final double MAX_NORMALIZED_NUMBER = 1e15; // all integers below it are exact

        private final int maxDepth;
        private final FieldMap.Names names = new FieldMap.Names();
        private final Map<Object, Object> sharedValues = new HashMap<>();
        private boolean compacts = true; // values that occur again are kept once, and maps take little memory
        private boolean repairs; // unpaired surrogates are replaced rather than rejected
        private boolean normalizesNumbers; // numbers without a fraction become integers
        private int maxValues = Integer.MAX_VALUE;
        private int valueCount;

        Reader(int maxDepth) {
            this.maxDepth = maxDepth;
        }

        Object value(JsonParser parser, int depth) throws IOException, MalformedMessage {
            if (depth > maxDepth) {
                throw new MalformedMessage("nested too deeply");
            } else if (++valueCount > maxValues) {
                throw new MalformedMessage("more than " + maxValues + " values");
            }
            JsonToken token = parser.currentToken();
            if (token == null) {
                throw new MalformedMessage("truncated");
            }
            return switch (token) {
                case START_OBJECT -> map(parser, depth);
                case START_ARRAY -> list(parser, depth);
                case VALUE_STRING -> shared(text(parser.getText()));
                case VALUE_NUMBER_INT -> shared(parser.getLongValue());
                case VALUE_NUMBER_FLOAT -> shared(number(finite(parser.getDoubleValue())));
                case VALUE_TRUE, VALUE_FALSE -> token == JsonToken.VALUE_TRUE;
                case VALUE_EMBEDDED_OBJECT -> parser.getBinaryValue();
                case VALUE_NULL -> null;
                default -> throw new MalformedMessage("unsupported value");
            };
        }

        private Map<String, Object> map(JsonParser parser, int depth) throws IOException, MalformedMessage {
            Map<String, Object> map = new LinkedHashMap<>();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = text(parser.currentName());
                parser.nextToken();
                if (map.containsKey(name)) {
                    throw new MalformedMessage("duplicate name: " + name);
                }
                map.put(name, value(parser, depth + 1));
            }
            if (parser.currentToken() != JsonToken.END_OBJECT) {
                throw new MalformedMessage("truncated");
            }
            return compacts ? FieldMap.of(map, names) : map;
        }

        private List<Object> list(JsonParser parser, int depth) throws IOException, MalformedMessage {
            ArrayList<Object> list = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                list.add(value(parser, depth + 1));
            }
            list.trimToSize();
            return list;
        }

        /** Returns an equal value that occurred before, if there is one. */
        private Object shared(Object value) {
            if (!compacts || value instanceof String text && text.length() > MAX_SHARED_TEXT_CHARACTERS) {
                return value;
            }
            Object known = sharedValues.get(value);
            if (known == null && sharedValues.size() < MAX_SHARED_VALUES) {
                sharedValues.put(value, value);
            }
            return known == null ? value : known;
        }

        private Object number(double number) {
            boolean isInteger = number == Math.rint(number) && Math.abs(number) < MAX_NORMALIZED_NUMBER;
            return normalizesNumbers && isInteger ? (Object) (long) number : (Object) number;
        }

        /** JSON has no form for infinity, which a number of too large an exponent is read as. */
        private static double finite(double number) throws MalformedMessage {
            if (!Double.isFinite(number)) {
                throw new MalformedMessage("a number is out of range");
            }
            return number;
        }

        /** JSON can escape half of a surrogate pair, UTF-8 and CBOR have no form for it. */
        private String text(String text) throws MalformedMessage {
            StringBuilder repaired = null;
            for (int i = 0; i < text.length(); i++) {
                char unit = text.charAt(i);
                if (!Character.isSurrogate(unit)) {
                    continue;
                }
                boolean startsPair = i + 1 < text.length() && Character.isSurrogatePair(unit, text.charAt(i + 1));
                boolean endsPair = i > 0 && Character.isSurrogatePair(text.charAt(i - 1), unit);
                if (startsPair || endsPair) {
                    continue;
                } else if (repairs) {
                    repaired = repaired == null ? new StringBuilder(text) : repaired;
                    repaired.setCharAt(i, REPLACEMENT_CHARACTER);
                } else {
                    throw new MalformedMessage("a text contains half of a surrogate pair");
                }
            }
            return repaired == null ? text : repaired.toString();
        }
    }
}
