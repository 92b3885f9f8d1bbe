package saltdale.control.message;

import java.util.ArrayList;
import java.util.List;
import saltdale.control.Fields;
import saltdale.control.MalformedMessage;

/** Reads the fields of one message in order; an error names the kind of the message and the field. */
final class FieldReader {
    /** Reads one element of a list, or one field that is itself composed. */
    interface Element<T> {
        T read(Object tree) throws MalformedMessage;
    }

    private final MessageKind kind;
    private final List<?> fields;
    private int next = 1; // the kind stands first

    FieldReader(MessageKind kind, List<?> fields) {
        this.kind = kind;
        this.fields = fields;
    }

    private Object next(String name) throws MalformedMessage {
        if (next >= fields.size()) {
            throw wrong(name, "is missing");
        }
        return fields.get(next++);
    }

    private MalformedMessage wrong(String name, String why) {
        return new MalformedMessage("message " + kind + ", field " + name + ": " + why);
    }

    /** Checks that nothing stands behind the last field. */
    void end() throws MalformedMessage {
        if (next != fields.size()) {
            throw new MalformedMessage("message " + kind + ": " + (fields.size() - next) + " fields too many");
        }
    }

    String text(String name) throws MalformedMessage {
        if (next(name) instanceof String text) {
            return text;
        }
        throw wrong(name, "is no text");
    }

    long whole(String name) throws MalformedMessage {
        if (next(name) instanceof Long number) {
            return number;
        }
        throw wrong(name, "is no whole number");
    }

    /** A whole number of at least {@code least} and at most {@code most}. */
    int within(String name, int least, int most) throws MalformedMessage {
        long number = whole(name);
        if (number < least || number > most) {
            throw wrong(name, "is out of its range");
        }
        return (int) number;
    }

    boolean flag(String name) throws MalformedMessage {
        if (next(name) instanceof Boolean flag) {
            return flag;
        }
        throw wrong(name, "is neither true nor false");
    }

    byte[] bytes(String name) throws MalformedMessage {
        if (next(name) instanceof byte[] bytes) {
            return bytes;
        }
        throw wrong(name, "is no bytes");
    }

    byte[] optionalBytes(String name) throws MalformedMessage {
        Object value = next(name);
        if (value == null || value instanceof byte[]) {
            return (byte[]) value;
        }
        throw wrong(name, "is no bytes");
    }

    <T> T composed(String name, Element<T> element) throws MalformedMessage {
        return element(name, next(name), element);
    }

    /** Null where the field is null. */
    <T> T optional(String name, Element<T> element) throws MalformedMessage {
        Object value = next(name);
        return value == null ? null : element(name, value, element);
    }

    Fields object(String name) throws MalformedMessage {
        return composed(name, Fields::of);
    }

    <T> List<T> list(String name, Element<T> element) throws MalformedMessage {
        if (!(next(name) instanceof List<?> list)) {
            throw wrong(name, "is no list");
        }
        List<T> all = new ArrayList<>(list.size());
        for (Object each : list) {
            all.add(element(name, each, element));
        }
        return all;
    }

    List<String> texts(String name) throws MalformedMessage {
        return list(name, each -> {
            if (each instanceof String text) {
                return text;
            }
            throw new MalformedMessage("holds something that is no text");
        });
    }

    private <T> T element(String name, Object tree, Element<T> element) throws MalformedMessage {
        try {
            return element.read(tree);
        } catch (MalformedMessage e) {
            throw wrong(name, e.getMessage());
        }
    }
}
