package saltdale.control.message;

import java.util.ArrayList;
import java.util.List;
import saltdale.control.MalformedMessage;
import saltdale.control.Trees;

/** Encodes messages as CBOR arrays of the kind and its fields, and decodes them with a check of every field. */
public final class MessageCodec {
    private static final MessageKind[] KINDS = MessageKind.values();

    private MessageCodec() {}

    /** Returns the bytes that are sent to another process. */
    public static byte[] encode(Message message) {
        return Trees.toCbor(tree(message));
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessage if a field is missing, surplus or of the wrong type; it names the kind and the field
     */
    public static Message decode(byte[] bytes) throws MalformedMessage {
        return read(Trees.listFromCbor(bytes));
    }

    /** Returns the array that is encoded: the number of the kind, then the fields. */
    public static List<Object> tree(Message message) {
        List<Object> fields = message.fields();
        List<Object> all = new ArrayList<>(fields.size() + 1);
        all.add((long) message.kind().ordinal());
        all.addAll(fields);
        return all;
    }

    /** Reads a message from the array that {@link #tree(Message)} returns. */
    public static Message read(List<?> tree) throws MalformedMessage {
        if (tree.isEmpty() || !(tree.get(0) instanceof Long number) || number < 0 || number >= KINDS.length) {
            throw new MalformedMessage("no known kind of message");
        }
        MessageKind kind = KINDS[number.intValue()];
        FieldReader fields = new FieldReader(kind, tree);
        Message message = kind.reader.read(fields);
        fields.end();
        return message;
    }
}
