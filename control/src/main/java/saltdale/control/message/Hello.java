package saltdale.control.message;

import java.util.List;
import saltdale.control.MalformedMessage;

/** The first message on a connection; it names the host of the process that opened the connection. */
public record Hello(String host) implements Message {
    @Override
    public MessageKind kind() {
        return MessageKind.HELLO;
    }

    @Override
    public List<Object> fields() {
        return List.of(host);
    }

    static Hello read(FieldReader fields) throws MalformedMessage {
        return new Hello(fields.string("host"));
    }
}
