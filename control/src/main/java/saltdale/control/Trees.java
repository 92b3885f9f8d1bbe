package saltdale.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts trees of maps, lists, strings, numbers, byte arrays and booleans to and from CBOR (used between processes)
 * and JSON.
 */
public final class Trees {
    private static final int MAX_DEPTH = 32;

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

    /** Parses a CBOR object. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> fromCbor(byte[] bytes) throws MalformedMessage {
        return (Map<String, Object>) decode(Cbor.FACTORY, bytes, JsonToken.START_OBJECT, "object");
    }

    /** Parses a CBOR array, the outer form of messages between processes. */
    @SuppressWarnings("unchecked")
    public static List<Object> listFromCbor(byte[] bytes) throws MalformedMessage {
        return (List<Object>) decode(Cbor.FACTORY, bytes, JsonToken.START_ARRAY, "array");
    }

    /** Parses a JSON object. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> fromJson(byte[] bytes) throws MalformedMessage {
        return (Map<String, Object>) decode(Json.FACTORY, bytes, JsonToken.START_OBJECT, "object");
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

    private static Object decode(JsonFactory factory, byte[] bytes, JsonToken firstToken, String kind)
            throws MalformedMessage {
        try (JsonParser parser = factory.createParser(bytes)) {
            if (parser.nextToken() != firstToken) {
                throw new MalformedMessage("not an " + kind);
            }
            Object tree = readValue(parser, 0);
            if (parser.nextToken() != null) {
                throw new MalformedMessage("unexpected data after the " + kind);
            }
            return tree;
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessage("cannot be read: " + e.getClass().getSimpleName());
        }
    }

    private static Object readValue(JsonParser parser, int depth) throws IOException, MalformedMessage {
        if (depth > MAX_DEPTH) {
            throw new MalformedMessage("nested too deeply");
        }
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new MalformedMessage("truncated");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    if (map.containsKey(name)) {
                        throw new MalformedMessage("duplicate name: " + name);
                    }
                    map.put(name, readValue(parser, depth + 1));
                }
                if (parser.currentToken() != JsonToken.END_OBJECT) {
                    throw new MalformedMessage("truncated");
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(parser, depth + 1));
                }
                return list;
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            case VALUE_NUMBER_INT -> {
                return parser.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return parser.getDoubleValue();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return token == JsonToken.VALUE_TRUE;
            }
            case VALUE_EMBEDDED_OBJECT -> {
                return parser.getBinaryValue();
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> throw new MalformedMessage("unsupported value");
        }
    }
}
