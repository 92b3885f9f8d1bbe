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
import saltdale.transport.SendProgress;

/**
 * Checks that no answer reaches the wrong client and that a request that is not idempotent is executed at most once,
 * whatever instances, connections and processes do.
 */
class EndToEndTest {
    private static final int PROXIES = 4;

    /** Faulty variants of the exchange; the checks must detect each of them. */
    enum FaultyVariant {
        TAKES_REFUSAL_WITHOUT_ID(
                (attempt, connections, listener) -> new UpstreamExchange(attempt, connections, listener) {
                    @Override
                    boolean belongsToAttempt(Head answer) {
                        return super.belongsToAttempt(answer) || isRefusal(answer) && lacksAttemptId(answer);
                    }
                }),
        TAKES_ANY_ANSWER((attempt, connections, listener) -> new UpstreamExchange(attempt, connections, listener) {
            @Override
            boolean belongsToAttempt(Head answer) {
                return true;
            }
        }),
        COUNTS_RESET_AS_UNSENT(
                (attempt, connections, listener) -> new UpstreamExchange(attempt, connections, listener) {
                    @Override
                    boolean isUnsent() {
                        return true;
                    }
                }),
        COUNTS_PARTLY_WRITTEN_AS_UNSENT(
                (attempt, connections, listener) -> new UpstreamExchange(attempt, connections, listener) {
                    @Override
                    boolean isUnsent() {
                        return super.isUnsent() || sendProgress() == SendProgress.PARTLY_WRITTEN;
                    }
                });

        private final EndToEndModel.Exchanges exchanges;

        FaultyVariant(EndToEndModel.Exchanges exchanges) {
            this.exchanges = exchanges;
        }
    }

    /** Runs a simulation with faults of all kinds. */
    private static EndToEndModel runWithFaults(long seed, EndToEndModel.Exchanges exchanges) {
        EndToEndModel model = new EndToEndModel(seed, PROXIES, exchanges);
        model.enableFaults();
        model.generateLoad(150, 7000, PROXIES);
        for (int i = 0; i < 6; i++) {
            model.cluster.run(1000);
            injectProcessFault(model, model.cluster.random().nextInt(PROXIES));
        }
        model.cluster.run(6000);
        model.checkAnswers();
        return model;
    }

    private static void injectProcessFault(EndToEndModel model, int proxy) {
        Environment process = model.cluster.readyProcess(proxy);
        if (process == null) {
            return;
        }
        switch (model.cluster.random().nextInt(5)) {
            case 0 -> model.cluster.restart(proxy);
            case 1 -> model.cluster.rollingRestart(proxy);
            case 2 -> {
                model.cluster.freezeFor(proxy, 200 + model.cluster.random().nextInt(3000));
                model.allowLateAnswers(process);
            }
            case 3 -> model.cluster.powerCycle(proxy % 3);
            default -> {}
        }
    }

    @Test
    void answersReachTheirClientsAndNonIdempotentRequestsRunOnce() {
        int servedCount = 0;
        int refusedCount = 0;
        for (int seed = 0; seed < 10; seed++) {
            EndToEndModel model = runWithFaults(seed, UpstreamExchange::new);
            assertThat(model.violations, is(empty()));
            servedCount += model.servedCount;
            refusedCount += model.refusedCount;
        }
        assertThat(servedCount, greaterThan(10 * 500));
        assertThat(refusedCount, greaterThan(10 * 5));
    }

    @ParameterizedTest
    @EnumSource
    void faultyVariantIsDetected(FaultyVariant variant) {
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < 10 && violations.isEmpty(); seed++) {
            violations.addAll(runWithFaults(seed, variant.exchanges).violations);
        }
        assertThat(violations, is(not(empty())));
    }

    /** Without faults, no instance gets more requests at a time than it has slots. */
    @Test
    void instancesAreNotOverloadedWithoutFaults() {
        for (int seed = 0; seed < 4; seed++) {
            assertThat("seed " + seed, runWithoutFaults(seed, message -> message), is(0));
        }
    }

    @Test
    void slotReturnedUnderAnotherKeyIsDetected() {
        int overLimitRequests = 0;
        for (int seed = 0; seed < 2; seed++) {
            overLimitRequests += runWithoutFaults(seed, new ReturnsAnotherSlot());
        }
        assertThat(overLimitRequests, greaterThan(0));
    }

    private static int runWithoutFaults(long seed, UnaryOperator<Message> rewriter) {
        EndToEndModel model = new EndToEndModel(seed, PROXIES, UpstreamExchange::new);
        model.cluster.rewriteMessages(rewriter);
        model.generateLoad(400, 3000, PROXIES);
        model.cluster.run(6000);
        model.checkAnswers();
        assertThat(model.violations, is(empty()));
        assertThat(model.servedCount, greaterThan(500));
        return model.overLimitRequests;
    }

    /** A faulty variant: a slot is returned under the key of another slot request. */
    private static final class ReturnsAnotherSlot implements UnaryOperator<Message> {
        private final Map<String, String> openKeys = new LinkedHashMap<>(); // each key mapped to itself

        @Override
        public Message apply(Message message) {
            if (message instanceof SlotRequest request) {
                String key = request.incarnation() + "." + request.number();
                openKeys.put(key, key);
            }
            if (!(message instanceof SlotReturn returned)) {
                return message;
            }
            openKeys.remove(returned.key());
            String otherKey = openKeys.isEmpty()
                    ? returned.key()
                    : openKeys.keySet().iterator().next();
            openKeys.remove(otherKey);
            return new SlotCancel(returned.service(), otherKey);
        }
    }
}
