package saltdale.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Control nodes with one deliberate fault each in the handling of configuration orders; tests must detect it. */
public enum FaultyOrderHandling {
    /** Remembers only 64 orders, and refuses older ones as if another order had won against them. */
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

    /** Acknowledges an order when it is proposed, before a majority has accepted it. */
    ACKNOWLEDGES_BEFORE_CHOSEN {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) ->
                    new EarlyReplies(environment, settings, register, peers, true);
        }
    },

    /** Refuses an order because of a newer state that is not chosen yet and may lose to another one. */
    REFUSES_BEFORE_CHOSEN {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) ->
                    new EarlyReplies(environment, settings, register, peers, false);
        }
    },

    /** Fails with an exception that nobody declared when it applies the order that makes revision 2. */
    THROWS_ON_REVISION_2 {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) ->
                    new ConfigurationService(environment, settings, register, peers) {
                        @Override
                        Proposer.ChangeResult applyUpdate(
                                ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
                            Proposer.ChangeResult result = super.applyUpdate(order, newest, text);
                            if (result.next() != null && result.next().revision() == 2) {
                                throw new IllegalStateException("a fault of the test");
                            }
                            return result;
                        }
                    };
        }
    },

    /** Fails with an exception when it learns that revision 2 is chosen. */
    THROWS_WHEN_REVISION_2_IS_CHOSEN {
        @Override
        ConfigurationService.Factory service() {
            return failingWhenRevision2IsChosen(() -> {
                throw new IllegalStateException("a fault of the test");
            });
        }
    },

    /** Fails with an error when it learns that revision 2 is chosen. */
    OVERFLOWS_WHEN_REVISION_2_IS_CHOSEN {
        @Override
        ConfigurationService.Factory service() {
            return failingWhenRevision2IsChosen(() -> {
                throw new StackOverflowError("a fault of the test");
            });
        }
    },

    /** Validates the content of an order before it checks whether the order was already applied. */
    CHECKS_CONTENT_FIRST {
        @Override
        ConfigurationService.Factory service() {
            return (environment, settings, register, peers) ->
                    new ConfigurationService(environment, settings, register, peers) {
                        @Override
                        Proposer.ChangeResult applyUpdate(
                                ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
                            try {
                                boolean isNewer = order.isAmendment()
                                        || order.applyTo(null).revision() > newest.revision();
                                return isNewer ? super.applyUpdate(order, newest, text) : refusal(400);
                            } catch (InvalidConfiguration e) {
                                return refusal(400);
                            }
                        }
                    };
        }
    };

    abstract ConfigurationService.Factory service();

    /** Creates a control node with this fault. */
    public ControlNode node(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return new ControlNode(
                environment, settings, platform, records, ControlNode.Components.DEFAULT.with(service()));
    }

    private static Proposer.ChangeResult refusal(int status) {
        return Proposer.ChangeResult.unchanged(
                new ConfigurationService.Reply(status, "refused by a deliberate fault", null));
    }

    private static ConfigurationService.Factory failingWhenRevision2IsChosen(Runnable failure) {
        return (environment, settings, register, peers) ->
                new ConfigurationService(environment, settings, register, peers) {
                    @Override
                    void onChosen(ReplicatedState state, byte[] text) {
                        if (state.revision() == 2) {
                            failure.run();
                        }
                        super.onChosen(state, text);
                    }
                };
    }

    private static long oldestOf64(ReplicatedState newest) {
        return newest.revision() - 64; // the tests that use this fault number their changes consecutively
    }

    /** Replies before the ballot is decided: with acknowledgements, or with refusals. */
    private static final class EarlyReplies extends ConfigurationService {
        private final boolean acknowledgesEarly;
        private final Map<ConfigurationUpdate, Consumer<Reply>> pendingReplies = new HashMap<>();

        EarlyReplies(
                Environment environment,
                ControlNodeSettings settings,
                ReplicatedRegister register,
                PeerContacts peers,
                boolean acknowledgesEarly) {
            super(environment, settings, register, peers);
            this.acknowledgesEarly = acknowledgesEarly;
        }

        @Override
        void propose(ConfigurationUpdate order, Consumer<Reply> consumer) {
            pendingReplies.put(order, consumer);
            super.propose(order, reply -> reply(order, reply));
        }

        private void reply(ConfigurationUpdate order, Reply reply) {
            Consumer<Reply> consumer = pendingReplies.remove(order);
            if (consumer != null) {
                consumer.accept(reply);
            }
        }

        @Override
        Proposer.ChangeResult applyUpdate(ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
            Proposer.ChangeResult step = super.applyUpdate(order, newest, text);
            if ((step.next() != null) == acknowledgesEarly) {
                reply(order, (Reply) step.answer());
            }
            return step;
        }
    }
}
