package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.control.Environment;
import saltdale.control.message.Message;
import saltdale.control.message.SlotMessage.SlotCancel;
import saltdale.control.message.SlotMessage.SlotRequest;
import saltdale.control.message.SlotMessage.SlotReturn;
import saltdale.protocol.Head;
import saltdale.proxy.Attempt;

/**
 * No answer goes to another caller, and what may not be repeated runs once at most, whatever instances, connections
 * and processes do.
 */
class ChainTest {
    private static final int PROXIES = 4;

    /** Ways to get it wrong; each must be found. */
    enum WrongVariant {
        TAKES_REFUSAL_WITHOUT_ID {
            @Override
            UpstreamExchange of(Attempt attempt, UpstreamConnections connections, UpstreamExchange.Ended told) {
                return new UpstreamExchange(attempt, connections, told) {
                    @Override
                    boolean isOurs(Head answer) {
                        return super.isOurs(answer) || isRefusal(answer) && bearsNoId(answer);
                    }
                };
            }
        },
        TAKES_ANY_ANSWER {
            @Override
            UpstreamExchange of(Attempt attempt, UpstreamConnections connections, UpstreamExchange.Ended told) {
                return new UpstreamExchange(attempt, connections, told) {
                    @Override
                    boolean isOurs(Head answer) {
                        return true;
                    }
                };
            }
        },
        COUNTS_RESET_AS_UNSENT {
            @Override
            UpstreamExchange of(Attempt attempt, UpstreamConnections connections, UpstreamExchange.Ended told) {
                return new UpstreamExchange(attempt, connections, told) {
                    @Override
                    boolean isUnsent() {
                        return true;
                    }
                };
            }
        };

        abstract UpstreamExchange of(Attempt attempt, UpstreamConnections connections, UpstreamExchange.Ended told);
    }

    /** Ten seconds of all troubles. */
    private static ChainModel troubled(long seed, ChainModel.Exchanges exchanges) {
        ChainModel model = new ChainModel(seed, PROXIES, exchanges);
        model.troubles();
        model.load(150, 7000, PROXIES);
        for (int i = 0; i < 6; i++) {
            model.cluster.run(1000);
            processTrouble(model, model.cluster.random().nextInt(PROXIES));
        }
        model.cluster.run(6000);
        model.checkAnswers();
        return model;
    }

    private static void processTrouble(ChainModel model, int proxy) {
        Environment process = model.cluster.readyProcess(proxy);
        if (process == null) {
            return;
        }
        switch (model.cluster.random().nextInt(5)) {
            case 0 -> model.cluster.restart(proxy);
            case 1 -> model.cluster.rollingRestart(proxy);
            case 2 -> {
                model.cluster.freezeFor(proxy, 200 + model.cluster.random().nextInt(3000));
                model.troubled(process);
            }
            case 3 -> model.cluster.powerCycle(proxy % 3);
            default -> {}
        }
    }

    @Test
    void eachAnswerIsForItsCallerAndWhatMayNotBeRepeatedRunsOnce() {
        int served = 0;
        int refused = 0;
        for (int seed = 0; seed < 10; seed++) {
            ChainModel model = troubled(seed, UpstreamExchange::new);
            assertThat(model.faults, is(empty()));
            served += model.served;
            refused += model.refused;
        }
        assertThat(served, greaterThan(10 * 500));
        assertThat(refused, greaterThan(10 * 5));
    }

    @ParameterizedTest
    @EnumSource
    void aWrongVariantIsFound(WrongVariant wrong) {
        List<String> faults = new ArrayList<>();
        for (int seed = 0; seed < 10 && faults.isEmpty(); seed++) {
            faults.addAll(troubled(seed, wrong::of).faults);
        }
        assertThat(faults, is(not(empty())));
    }

    /** Without trouble no instance is given more than its slots. */
    @Test
    void slotsReturnToTheirOwnGrants() {
        for (int seed = 0; seed < 4; seed++) {
            assertThat("seed " + seed, calm(seed, message -> message), is(0));
        }
    }

    @Test
    void aSlotReturnedForAnotherIsFound() {
        int over = 0;
        for (int seed = 0; seed < 2; seed++) {
            over += calm(seed, new ReturnsSlotOfAnother());
        }
        assertThat(over, greaterThan(0));
    }

    private static int calm(long seed, UnaryOperator<Message> onItsWay) {
        ChainModel model = new ChainModel(seed, PROXIES, UpstreamExchange::new);
        model.cluster.rewriteMessages(onItsWay);
        model.load(400, 3000, PROXIES);
        model.cluster.run(6000);
        model.checkAnswers();
        assertThat(model.faults, is(empty()));
        assertThat(model.served, greaterThan(500));
        return model.overLimit;
    }

    /** A wrong variant: a slot is returned under the key of another request for one. */
    private static final class ReturnsSlotOfAnother implements UnaryOperator<Message> {
        private final Map<String, String> asked = new LinkedHashMap<>(); // key by key

        @Override
        public Message apply(Message message) {
            if (message instanceof SlotRequest request) {
                String key = request.incarnation() + "." + request.number();
                asked.put(key, key);
            }
            if (!(message instanceof SlotReturn returned)) {
                return message;
            }
            asked.remove(returned.key());
            String other =
                    asked.isEmpty() ? returned.key() : asked.keySet().iterator().next();
            asked.remove(other);
            return new SlotCancel(returned.service(), other);
        }
    }
}
