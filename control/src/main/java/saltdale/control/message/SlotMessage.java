package saltdale.control.message;

import java.util.List;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;

/** Messages between a proxy that carries a request and the proxy that owns the slots of the service. */
public sealed interface SlotMessage extends Message {
    /**
     * Requests a slot. {@code remainingMillis} is the time left until the deadline, {@code targetRemainingMillis} until
     * the target latency; {@code avoidedInstances} have failed the request before.
     */
    record SlotRequest(
            long number,
            String service,
            String incarnation,
            String zone,
            long remainingMillis,
            long targetRemainingMillis,
            int priority,
            boolean countsAsDemand,
            int hops,
            List<String> avoidedInstances)
            implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_REQUEST;
        }

        @Override
        public List<Object> fields() {
            return List.of(
                    number,
                    service,
                    incarnation,
                    zone,
                    remainingMillis,
                    targetRemainingMillis,
                    (long) priority,
                    countsAsDemand,
                    (long) hops,
                    avoidedInstances);
        }

        @Override
        public boolean expectsReply() {
            return true;
        }

        static SlotRequest read(FieldReader fields) throws MalformedMessage {
            return new SlotRequest(
                    fields.integer("number"),
                    fields.string("service"),
                    fields.string("life"),
                    fields.string("zone"),
                    fields.integer("untilMillis"),
                    fields.integer("targetMillis"),
                    fields.integerInRange("priority", -1, Integer.MAX_VALUE),
                    fields.bool("counts"),
                    fields.integerInRange("hops", 0, Integer.MAX_VALUE),
                    fields.strings("avoided"));
        }
    }

    /** The request may be sent to this instance. */
    record SlotGrant(long number, Instance instance) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_GRANT;
        }

        @Override
        public List<Object> fields() {
            return List.of(number, instance.tree());
        }

        static SlotGrant read(FieldReader fields) throws MalformedMessage {
            return new SlotGrant(fields.integer("number"), fields.value("instance", Instance::of));
        }
    }

    /** The request waits for a slot. */
    record SlotQueued(long number) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_QUEUED;
        }

        @Override
        public List<Object> fields() {
            return List.of(number);
        }

        static SlotQueued read(FieldReader fields) throws MalformedMessage {
            return new SlotQueued(fields.integer("number"));
        }
    }

    /** Another zone has instances; the slot must be requested there. */
    record SlotRedirect(long number, String zone) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_ELSEWHERE;
        }

        @Override
        public List<Object> fields() {
            return List.of(number, zone);
        }

        static SlotRedirect read(FieldReader fields) throws MalformedMessage {
            return new SlotRedirect(fields.integer("number"), fields.string("zone"));
        }
    }

    /** No slot becomes free in time; the client may retry after {@code retryAfterMillis}. */
    record SlotRefusal(long number, long retryAfterMillis) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_REFUSAL;
        }

        @Override
        public List<Object> fields() {
            return List.of(number, retryAfterMillis);
        }

        static SlotRefusal read(FieldReader fields) throws MalformedMessage {
            return new SlotRefusal(fields.integer("number"), fields.integer("pauseMillis"));
        }
    }

    /** The request no longer waits for a slot, or returns the one that it was granted. */
    record SlotCancel(String service, String key) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_CANCEL;
        }

        @Override
        public List<Object> fields() {
            return List.of(service, key);
        }

        static SlotCancel read(FieldReader fields) throws MalformedMessage {
            return new SlotCancel(fields.string("service"), fields.string("key"));
        }
    }

    /** The slot is free again; {@code outcome} is the position of the constant that says how the attempt ended. */
    record SlotReturn(String service, String key, String instance, int outcome, long runMicros) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOT_RETURN;
        }

        @Override
        public List<Object> fields() {
            return List.of(service, key, instance, (long) outcome, runMicros);
        }

        static SlotReturn read(FieldReader fields) throws MalformedMessage {
            return new SlotReturn(
                    fields.string("service"),
                    fields.string("key"),
                    fields.string("instance"),
                    fields.integerInRange("outcome", 0, Integer.MAX_VALUE),
                    fields.integer("ranMicros"));
        }
    }

    /** Slots that are in use, reported to their new owner. */
    record SlotsHeld(List<HeldSlot> slots) implements SlotMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.SLOTS_HELD;
        }

        @Override
        public List<Object> fields() {
            return List.of(slots.stream().map(HeldSlot::tree).toList());
        }

        static SlotsHeld read(FieldReader fields) throws MalformedMessage {
            return new SlotsHeld(fields.list("slots", HeldSlot::of));
        }
    }

    /** A slot in use: the key of its grant, and the incarnation of the proxy that holds it. */
    record HeldSlot(String service, String instance, String key, String incarnation, long remainingMillis) {
        List<Object> tree() {
            return List.of(service, instance, key, incarnation, remainingMillis);
        }

        static HeldSlot of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list
                    && list.size() == 5
                    && list.get(0) instanceof String service
                    && list.get(1) instanceof String instance
                    && list.get(2) instanceof String key
                    && list.get(3) instanceof String incarnation
                    && list.get(4) instanceof Long remainingMillis) {
                return new HeldSlot(service, instance, key, incarnation, remainingMillis);
            }
            throw new MalformedMessage("is not a held slot");
        }
    }
}
