package saltdale.control.message;

import java.util.List;

/** A message between two control nodes, two proxies, or one of each; {@link MessageCodec} encodes and decodes it. */
public sealed interface Message
        permits BallotMessage, HeartbeatMessage, SessionMessage, ContactMessage, InstanceMessage, SlotMessage, Hello {
    /** The kind, which determines the fields. */
    MessageKind kind();

    /** The fields in their order on the wire: strings, numbers, booleans, byte arrays, lists, maps or null. */
    List<Object> fields();

    /** Whether a healthy receiver replies at once, so that a missing reply indicates a broken connection. */
    default boolean expectsReply() {
        return false;
    }
}
