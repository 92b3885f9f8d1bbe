package saltdale.control.message;

import java.util.ArrayList;
import java.util.List;
import saltdale.control.MalformedMessage;
import saltdale.control.Trees;

/** Writes messages as CBOR arrays, the kind first and its fields behind it, and reads them back with all checks. */
public final class MessageCodec {
    private static final MessageKind[] KINDS = MessageKind.values();

    private MessageCodec() {}

    /** The message as it goes to another process. */
    public static byte[] encode(Message message) {
        return Trees.toCbor(tree(message));
    }

    /** The message that these bytes hold, whole and of the right types, or an error that names kind and field. */
    public static Message decode(byte[] bytes) throws MalformedMessage {
        return read(Trees.listFromCbor(bytes));
    }

    /** The array that is written: the kind's number, then the fields. */
    public static List<Object> tree(Message message) {
        List<Object> fields = message.fields();
        List<Object> all = new ArrayList<>(fields.size() + 1);
        all.add((long) message.kind().ordinal());
        all.addAll(fields);
        return all;
    }

    /** Reads such an array. */
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
