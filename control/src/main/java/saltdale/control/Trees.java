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

/** Trees of maps, lists, texts, numbers, bytes and truth values, to and from CBOR (between processes) and JSON. */
public final class Trees {
    private static final int DEEPEST = 32;

    private Trees() {}

    private static final class Cbor {
        static final JsonFactory FACTORY = new CBORFactory();
    }

    private static final class Json {
        static final JsonFactory FACTORY = new JsonFactory();
    }

    public static byte[] toCbor(Object tree) {
        return written(Cbor.FACTORY, tree);
    }

    public static byte[] toJson(Object tree) {
        return written(Json.FACTORY, tree);
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> fromCbor(byte[] bytes) throws MalformedMessage {
        return (Map<String, Object>) read(Cbor.FACTORY, bytes, JsonToken.START_OBJECT, "object");
    }

    /** Reads an array, as messages between processes are written. */
    @SuppressWarnings("unchecked")
    public static List<Object> listFromCbor(byte[] bytes) throws MalformedMessage {
        return (List<Object>) read(Cbor.FACTORY, bytes, JsonToken.START_ARRAY, "array");
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> fromJson(byte[] bytes) throws MalformedMessage {
        return (Map<String, Object>) read(Json.FACTORY, bytes, JsonToken.START_OBJECT, "object");
    }

    private static byte[] written(JsonFactory factory, Object tree) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator to = factory.createGenerator(out)) {
            write(to, tree);
        } catch (IOException e) {
            throw new IllegalStateException("a tree that can't be written", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator to, Object tree) throws IOException {
        if (tree == null) {
            to.writeNull();
        } else if (tree instanceof String text) {
            to.writeString(text);
        } else if (tree instanceof Integer number) {
            to.writeNumber(number);
        } else if (tree instanceof Long number) {
            to.writeNumber(number);
        } else if (tree instanceof Number number) {
            to.writeNumber(number.doubleValue());
        } else if (tree instanceof Boolean flag) {
            to.writeBoolean(flag);
        } else if (tree instanceof byte[] bytes) {
            to.writeBinary(bytes);
        } else if (tree instanceof Map<?, ?> map) {
            to.writeStartObject();
            for (Map.Entry<?, ?> each : map.entrySet()) {
                to.writeFieldName((String) each.getKey());
                write(to, each.getValue());
            }
            to.writeEndObject();
        } else if (tree instanceof List<?> list) {
            to.writeStartArray();
            for (Object each : list) {
                write(to, each);
            }
            to.writeEndArray();
        } else {
            throw new IllegalArgumentException("no part of a tree: " + tree.getClass());
        }
    }

    private static Object read(JsonFactory factory, byte[] bytes, JsonToken begins, String what)
            throws MalformedMessage {
        try (JsonParser from = factory.createParser(bytes)) {
            if (from.nextToken() != begins) {
                throw new MalformedMessage("not an " + what);
            }
            Object tree = value(from, 0);
            if (from.nextToken() != null) {
                throw new MalformedMessage("something stands behind the " + what);
            }
            return tree;
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessage("cannot be read: " + e.getClass().getSimpleName());
        }
    }

    private static Object value(JsonParser from, int depth) throws IOException, MalformedMessage {
        if (depth > DEEPEST) {
            throw new MalformedMessage("nested too deeply");
        }
        JsonToken token = from.currentToken();
        if (token == null) {
            throw new MalformedMessage("cut short");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (from.nextToken() == JsonToken.FIELD_NAME) {
                    String name = from.currentName();
                    from.nextToken();
                    if (map.containsKey(name)) {
                        throw new MalformedMessage("a name stands twice: " + name);
                    }
                    map.put(name, value(from, depth + 1));
                }
                if (from.currentToken() != JsonToken.END_OBJECT) {
                    throw new MalformedMessage("cut short");
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (from.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(from, depth + 1));
                }
                return list;
            }
            case VALUE_STRING -> {
                return from.getText();
            }
            case VALUE_NUMBER_INT -> {
                return from.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return from.getDoubleValue();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return token == JsonToken.VALUE_TRUE;
            }
            case VALUE_EMBEDDED_OBJECT -> {
                return from.getBinaryValue();
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> throw new MalformedMessage("no value");
        }
    }
}
