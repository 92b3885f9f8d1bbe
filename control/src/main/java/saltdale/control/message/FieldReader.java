package saltdale.control.message;

import java.util.ArrayList;
import java.util.List;
import saltdale.control.Fields;
import saltdale.control.MalformedMessage;

/** Reads the fields of one message in order; errors name the kind of the message and the field. */
final class FieldReader {
    /** Reads an element of a list, or a field that has parts of its own. */
    interface Element<T> {
        T read(Object tree) throws MalformedMessage;
    }

    private final MessageKind kind;
    private final List<?> fields;
    private int next = 1; // index 0 holds the kind

    FieldReader(MessageKind kind, List<?> fields) {
        this.kind = kind;
        this.fields = fields;
    }

    private Object next(String name) throws MalformedMessage {
        if (next >= fields.size()) {
            throw error(name, "is missing");
        }
        return fields.get(next++);
    }

    private MalformedMessage error(String name, String reason) {
        return new MalformedMessage("message " + kind + ", field " + name + ": " + reason);
    }

    /** Checks that the last field has been read. */
    void end() throws MalformedMessage {
        if (next != fields.size()) {
            throw new MalformedMessage("message " + kind + ": " + (fields.size() - next) + " fields too many");
        }
    }

    String string(String name) throws MalformedMessage {
        if (next(name) instanceof String string) {
            return string;
        }
        throw error(name, "is not a string");
    }

    long integer(String name) throws MalformedMessage {
        if (next(name) instanceof Long number) {
            return number;
        }
        throw error(name, "is no whole number");
    }

    /** Reads an integer between {@code min} and {@code max}, both inclusive. */
    int integerInRange(String name, int min, int max) throws MalformedMessage {
        long number = integer(name);
        if (number < min || number > max) {
            throw error(name, "is out of range");
        }
        return (int) number;
    }

    boolean bool(String name) throws MalformedMessage {
        if (next(name) instanceof Boolean bool) {
            return bool;
        }
        throw error(name, "is not a boolean");
    }

    byte[] bytes(String name) throws MalformedMessage {
        if (next(name) instanceof byte[] bytes) {
            return bytes;
        }
        throw error(name, "is not a byte string");
    }

    byte[] optionalBytes(String name) throws MalformedMessage {
        Object value = next(name);
        if (value == null || value instanceof byte[]) {
            return (byte[]) value;
        }
        throw error(name, "is not a byte string");
    }

    <T> T value(String name, Element<T> element) throws MalformedMessage {
        return element(name, next(name), element);
    }

    /** Like {@link #value}, but returns null if the field is null. */
    <T> T optionalValue(String name, Element<T> element) throws MalformedMessage {
        Object value = next(name);
        return value == null ? null : element(name, value, element);
    }

    Fields object(String name) throws MalformedMessage {
        return value(name, Fields::of);
    }

    <T> List<T> list(String name, Element<T> element) throws MalformedMessage {
        if (!(next(name) instanceof List<?> list)) {
            throw error(name, "is not a list");
        }
        List<T> all = new ArrayList<>(list.size());
        for (Object each : list) {
            all.add(element(name, each, element));
        }
        return all;
    }

    List<String> strings(String name) throws MalformedMessage {
        return list(name, each -> {
            if (each instanceof String string) {
                return string;
            }
            throw new MalformedMessage("contains an element that is not a string");
        });
    }

    private <T> T element(String name, Object tree, Element<T> element) throws MalformedMessage {
        try {
            return element.read(tree);
        } catch (MalformedMessage e) {
            throw error(name, e.getMessage());
        }
    }
}
