package saltdale.control.message;

import java.util.List;
import saltdale.control.MalformedMessage;

/** Messages by which a proxy without a fit control node looks for another one. */
public sealed interface ContactMessage extends Message {
    /** Asks whether a control node serves proxies just now, and where others are. */
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
            return new ContactProbe(fields.whole("number"));
        }
    }

    /**
     * The answer to a probe: whether its sender is a control node that has a quorum and stays, and the control nodes
     * that it knows of. A proxy answers too, so that one that has lost sight of all control nodes is told of them.
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
            return new ContactReply(fields.whole("number"), fields.flag("serves"), fields.texts("controlHosts"));
        }
    }
}
