package saltdale.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the fields of one object of a tree. A required field that is missing, or a field of another type,
 * raises {@link MalformedMessage}.
 */
public final class Fields {
    private final Map<String, Object> map;

    /** Wraps an object of a tree, which is not copied. */
    public Fields(Map<String, Object> map) {
        this.map = map;
    }

    /** The fields of a tree that must be an object. */
    @SuppressWarnings("unchecked")
    public static Fields of(Object tree) throws MalformedMessage {
        if (tree instanceof Map<?, ?> map) {
            return new Fields((Map<String, Object>) map);
        }
        throw new MalformedMessage("not an object");
    }

    /** Builds a tree from alternating names and values; pairs with a null value are left out. */
    public static Map<String, Object> tree(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i + 1] != null) {
                map.put((String) pairs[i], pairs[i + 1]);
            }
        }
        return map;
    }

    /** The underlying tree. */
    public Map<String, Object> map() {
        return map;
    }

    /** Whether the field is present and not null. */
    public boolean has(String name) {
        return map.get(name) != null;
    }

    /** A required string field. */
    public String text(String name) throws MalformedMessage {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw new MalformedMessage(name + " is not a string");
    }

    /** A string field, or the default if it is missing. */
    public String text(String name, String defaultValue) throws MalformedMessage {
        return has(name) ? text(name) : defaultValue;
    }

    /** A required integer field. */
    public long integer(String name) throws MalformedMessage {
        if (map.get(name) instanceof Long number) {
            return number;
        }
        throw new MalformedMessage(name + " is not an integer");
    }

    /** An integer field, or the default if it is missing. */
    public long integer(String name, long defaultValue) throws MalformedMessage {
        return has(name) ? integer(name) : defaultValue;
    }

    /** A required field that holds any number. */
    public double number(String name) throws MalformedMessage {
        if (map.get(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedMessage(name + " is not a number");
    }

    /** A field that holds any number, or the default if it is missing. */
    public double number(String name, double defaultValue) throws MalformedMessage {
        return has(name) ? number(name) : defaultValue;
    }

    /** A boolean field; false if it is missing. */
    public boolean bool(String name) throws MalformedMessage {
        if (has(name) && !(map.get(name) instanceof Boolean)) {
            throw new MalformedMessage(name + " is not a boolean");
        }
        return Boolean.TRUE.equals(map.get(name));
    }

    /** A required field of bytes. */
    public byte[] bytes(String name) throws MalformedMessage {
        if (map.get(name) instanceof byte[] bytes) {
            return bytes;
        }
        throw new MalformedMessage(name + " is not a byte string");
    }

    /** A required field that holds an object. */
    public Fields object(String name) throws MalformedMessage {
        if (map.get(name) instanceof Map<?, ?>) {
            return of(map.get(name));
        }
        throw new MalformedMessage(name + " is not an object");
    }

    /** A copy of a list field, which the caller may change; empty if the field is missing. */
    public List<Object> list(String name) throws MalformedMessage {
        Object value = map.get(name);
        if (value == null) {
            return new ArrayList<>();
        } else if (value instanceof List<?> list) {
            return new ArrayList<>(list);
        }
        throw new MalformedMessage(name + " is not a list");
    }

    /** A list of objects; empty if the field is missing. */
    public List<Fields> objects(String name) throws MalformedMessage {
        List<Fields> objects = new ArrayList<>();
        for (Object element : list(name)) {
            objects.add(of(element));
        }
        return objects;
    }

    /** A list of strings; empty if the field is missing. */
    public List<String> texts(String name) throws MalformedMessage {
        List<String> texts = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof String text)) {
                throw new MalformedMessage(name + " contains an element that is not a string");
            }
            texts.add(text);
        }
        return texts;
    }
}
