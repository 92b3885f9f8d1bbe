package saltdale.control.message;

import java.util.List;
import saltdale.control.MalformedMessage;

/** Messages by which a proxy without a usable control node searches for another one. */
public sealed interface ContactMessage extends Message {
    /** Asks whether the receiver is a control node that currently serves proxies, and where others are. */
    record ContactProbe(long number) implements ContactMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.CONTACT_PROBE;
        }

        @Override
        public List<Object> fields() {
            return List.of(number);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static ContactProbe read(FieldReader fields) throws MalformedMessage {
            return new ContactProbe(fields.integer("number"));
        }
    }

    /**
     * The reply to a probe: whether its sender is a control node that has a quorum and is not leaving, and the control
     * nodes that it knows. Proxies reply too, so that a proxy without contact to any control node can find one.
     */
    record ContactReply(long number, boolean serves, List<String> controlHosts) implements ContactMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.CONTACT_REPLY;
        }

        @Override
        public List<Object> fields() {
            return List.of(number, serves, controlHosts);
        }

        static ContactReply read(FieldReader fields) throws MalformedMessage {
            return new ContactReply(fields.integer("number"), fields.bool("serves"), fields.strings("controlHosts"));
        }
    }
}
