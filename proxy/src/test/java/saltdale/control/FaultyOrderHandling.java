package saltdale.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Control nodes that deal with operators' orders wrongly, each in one way that the tests of orders must find. */
public enum FaultyOrderHandling {
    /** Remembers 64 orders, and refuses those that it forgot as if they had lost. */
    FORGETS_AFTER_64 {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) ->
                    new ConfigurationService(environment, settings, register, peers) {
                        @Override
                        Proposer.ChangeResult applyUpdate(
                                ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
                            return order.baseRevision() < oldestOf64(newest)
                                    ? refusal(412)
                                    : super.applyUpdate(order, newest, text);
                        }
                    };
        }
    },

    /** Acknowledges an order when it is put forward, before a majority has accepted it. */
    ACKNOWLEDGES_BEFORE_CHOSEN {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) -> new Hasty(environment, settings, register, peers, true);
        }
    },

    /** Refuses an order for a newer state that may yet lose to another. */
    REFUSES_BEFORE_CHOSEN {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) -> new Hasty(environment, settings, register, peers, false);
        }
    },

    /** Checks what an order holds before it looks whether the order was taken. */
    CHECKS_CONTENT_FIRST {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) ->
                    new ConfigurationService(environment, settings, register, peers) {
                        @Override
                        Proposer.ChangeResult applyUpdate(
                                ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
                            try {
                                boolean rises = order.isAmendment()
                                        || order.applyTo(null).revision() > newest.revision();
                                return rises ? super.applyUpdate(order, newest, text) : refusal(400);
                            } catch (InvalidConfiguration e) {
                                return refusal(400);
                            }
                        }
                    };
        }
    };

    abstract ConfigurationService.Factory service();

    /** A control node with this fault. */
    public ControlNode node(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return new ControlNode(
                environment, settings, platform, records, new ControlNode.Components(service(), VoterChanges::new));
    }

    private static Proposer.ChangeResult refusal(int status) {
        return Proposer.ChangeResult.unchanged(new ConfigurationService.Reply(status, "by a wrong variant", null));
    }

    private static long oldestOf64(ReplicatedState newest) {
        return newest.revision() - 64; // the tests of a long memory number their changes one by one
    }

    /** Answers within a ballot: acknowledgements, or else refusals. */
    private static final class Hasty extends ConfigurationService {
        private final boolean acknowledges;
        private final Map<ConfigurationUpdate, Consumer<Reply>> answers = new HashMap<>();

        Hasty(
                Environment environment,
                ControlNodeSettings settings,
                ReplicatedRegister register,
                PeerContacts peers,
                boolean acknowledges) {
            super(environment, settings, register, peers);
            this.acknowledges = acknowledges;
        }

        @Override
        void propose(ConfigurationUpdate order, Consumer<Reply> answer) {
            answers.put(order, answer);
            super.propose(order, reply -> answer(order, reply));
        }

        private void answer(ConfigurationUpdate order, Reply reply) {
            Consumer<Reply> answer = answers.remove(order);
            if (answer != null) {
                answer.accept(reply);
            }
        }

        @Override
        Proposer.ChangeResult applyUpdate(ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
            Proposer.ChangeResult step = super.applyUpdate(order, newest, text);
            if ((step.next() != null) == acknowledges) {
                answer(order, (Reply) step.answer());
            }
            return step;
        }
    }
}
