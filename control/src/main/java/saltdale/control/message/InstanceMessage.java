package saltdale.control.message;

import java.util.List;
import saltdale.control.Demand;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;

/** Messages about instances and the demand for them. */
public sealed interface InstanceMessage extends Message {
    /** The demand that the owner of some services measures; {@code forwarded} if it comes by way of a control node. */
    record DemandReport(String incarnation, List<Demand> demands, boolean forwarded) implements InstanceMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.DEMAND_REPORT;
        }

        @Override
        public List<Object> fields() {
            return List.of(incarnation, demands.stream().map(Demand::tree).toList(), forwarded);
        }

        static DemandReport read(FieldReader fields) throws MalformedMessage {
            return new DemandReport(
                    fields.string("life"), fields.list("demands", Demand::of), fields.bool("forwarded"));
        }
    }

    /** An instance that was booting accepts connections now. */
    record InstanceReady(String instance) implements InstanceMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.INSTANCE_READY;
        }

        @Override
        public List<Object> fields() {
            return List.of(instance);
        }

        static InstanceReady read(FieldReader fields) throws MalformedMessage {
            return new InstanceReady(fields.string("instance"));
        }
    }

    /** Changed instances, sent from one control node to the others. */
    record InstanceUpdates(List<Instance> instances) implements InstanceMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.INSTANCE_UPDATES;
        }

        @Override
        public List<Object> fields() {
            return List.of(instances.stream().map(Instance::tree).toList());
        }

        static InstanceUpdates read(FieldReader fields) throws MalformedMessage {
            return new InstanceUpdates(fields.list("instances", Instance::of));
        }
    }

    /** The starts that the duty holder is about to request, and the nonces of those that have ended. */
    record StartIntents(List<StartIntent> intents, List<String> ended) implements InstanceMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.START_INTENTS;
        }

        @Override
        public List<Object> fields() {
            return List.of(intents.stream().map(StartIntent::tree).toList(), ended);
        }

        static StartIntents read(FieldReader fields) throws MalformedMessage {
            return new StartIntents(fields.list("intents", StartIntent::of), fields.strings("ended"));
        }
    }

    /** A start that may have been requested from the platform; a repeated request uses the same nonce. */
    record StartIntent(String nonce, String service, String worker, String zone, int slots, int memoryMb) {
        List<Object> tree() {
            return List.of(nonce, service, worker, zone, slots, memoryMb);
        }

        static StartIntent of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list
                    && list.size() == 6
                    && list.get(0) instanceof String nonce
                    && list.get(1) instanceof String service
                    && list.get(2) instanceof String worker
                    && list.get(3) instanceof String zone
                    && list.get(4) instanceof Long slots
                    && list.get(5) instanceof Long memoryMb) {
                return new StartIntent(nonce, service, worker, zone, slots.intValue(), memoryMb.intValue());
            }
            throw new MalformedMessage("is not a start intent");
        }
    }
}
