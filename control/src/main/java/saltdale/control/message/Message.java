package saltdale.control.message;

import java.util.List;

/** A message between two processes of the platform; {@link MessageCodec} writes and reads it. */
public sealed interface Message
        permits BallotMessage, HeartbeatMessage, SessionMessage, ContactMessage, InstanceMessage, SlotMessage, Hello {
    /** The kind, by which the reader knows the fields. */
    MessageKind kind();

    /** The fields in the order in which they are written: texts, numbers, truth values, bytes, lists, maps, null. */
    List<Object> fields();

    /** Whether a receiver that is well answers at once, so that silence tells of a broken connection. */
    default boolean expectsReply() {
        return false;
    }
}
