package saltdale.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The fields of one object of a tree, by name and kind; what is missing or of another kind is malformed. */
public final class Fields {
    private final Map<String, Object> map;

    public Fields(Map<String, Object> map) {
        this.map = map;
    }

    @SuppressWarnings("unchecked")
    public static Fields of(Object tree) throws MalformedMessage {
        if (tree instanceof Map<?, ?> map) {
            return new Fields((Map<String, Object>) map);
        }
        throw new MalformedMessage("not an object");
    }

    /** A tree of these names and values in turn; pairs whose value is null are left out. */
    public static Map<String, Object> tree(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i + 1] != null) {
                map.put((String) pairs[i], pairs[i + 1]);
            }
        }
        return map;
    }

    public Map<String, Object> map() {
        return map;
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public String text(String name) throws MalformedMessage {
        if (map.get(name) instanceof String text) {
            return text;
        }
        throw new MalformedMessage(name + " is no text");
    }

    public String text(String name, String otherwise) throws MalformedMessage {
        return has(name) ? text(name) : otherwise;
    }

    public long integer(String name) throws MalformedMessage {
        if (map.get(name) instanceof Long number) {
            return number;
        }
        throw new MalformedMessage(name + " is no whole number");
    }

    public long integer(String name, long otherwise) throws MalformedMessage {
        return has(name) ? integer(name) : otherwise;
    }

    public double number(String name) throws MalformedMessage {
        if (map.get(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedMessage(name + " is no number");
    }

    public double number(String name, double otherwise) throws MalformedMessage {
        return has(name) ? number(name) : otherwise;
    }

    public boolean bool(String name) throws MalformedMessage {
        if (has(name) && !(map.get(name) instanceof Boolean)) {
            throw new MalformedMessage(name + " is neither true nor false");
        }
        return Boolean.TRUE.equals(map.get(name));
    }

    public byte[] bytes(String name) throws MalformedMessage {
        if (map.get(name) instanceof byte[] bytes) {
            return bytes;
        }
        throw new MalformedMessage(name + " is no bytes");
    }

    public Fields object(String name) throws MalformedMessage {
        if (map.get(name) instanceof Map<?, ?>) {
            return of(map.get(name));
        }
        throw new MalformedMessage(name + " is no object");
    }

    public List<Object> list(String name) throws MalformedMessage {
        Object value = map.get(name);
        if (value == null) {
            return List.of();
        } else if (value instanceof List<?> list) {
            return new ArrayList<>(list);
        }
        throw new MalformedMessage(name + " is no list");
    }

    public List<Fields> objects(String name) throws MalformedMessage {
        List<Fields> all = new ArrayList<>();
        for (Object each : list(name)) {
            all.add(of(each));
        }
        return all;
    }

    public List<String> texts(String name) throws MalformedMessage {
        List<String> all = new ArrayList<>();
        for (Object each : list(name)) {
            if (!(each instanceof String text)) {
                throw new MalformedMessage(name + " holds what is no text");
            }
            all.add(text);
        }
        return all;
    }
}
