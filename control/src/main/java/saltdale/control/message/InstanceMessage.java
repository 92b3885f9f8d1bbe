package saltdale.control.message;

import java.util.List;
import saltdale.control.Demand;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;

/** What is told of instances and of the demand for them. */
public sealed interface InstanceMessage extends Message {
    /** The demand that the owner of some services sees; {@code forwarded}: by another control node. */
    record DemandReport(String life, List<Demand> demands, boolean forwarded) implements InstanceMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.DEMAND_REPORT;
        }

        @Override
        public List<Object> fields() {
            return List.of(life, demands.stream().map(Demand::tree).toList(), forwarded);
        }

        static DemandReport read(FieldReader fields) throws MalformedMessage {
            return new DemandReport(fields.text("life"), fields.list("demands", Demand::of), fields.flag("forwarded"));
        }
    }

    /** An instance that was starting takes connections. */
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
            return new InstanceReady(fields.text("instance"));
        }
    }

    /** Changed instances, from one control node to the others. */
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

    /** Starts that the duty holder is about to ask for, and the nonces of those that are over. */
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
            return new StartIntents(fields.list("intents", StartIntent::of), fields.texts("ended"));
        }
    }

    /** A start that may have been asked for; whoever asks again uses the same nonce. */
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
            throw new MalformedMessage("is no start");
        }
    }
}
