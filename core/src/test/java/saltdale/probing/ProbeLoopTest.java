package saltdale.probing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Smoothed measurements and the stop rule, with expected values calculated by hand. */
class ProbeLoopTest {
    private final ProbeLoop loop = new ProbeLoop();

    @Test
    void measurementsAreSmoothedWithAlpha() {
        loop.recordProbe(false, 4, 0.02);
        loop.recordProbe(true, 0, 0.01);
        loop.recordRunTime(2);
        assertThat(loop.observedLambda, closeTo(0.9 * 0.1, 1e-12));
        assertThat(loop.meanQueue, closeTo(0.9 * 0.4, 1e-12));
        assertThat(loop.roundTrip, closeTo(0.9 * 0.002 + 0.1 * 0.01, 1e-12));
        assertThat(loop.runTime, closeTo(0.2, 1e-12));
    }

    @Test
    void costIsRoundTripOverRunTimePlusQueueTimesC() {
        loop.recordProbe(false, 4, 0.02);
        assertThat("no job has completed", loop.cost(), is(0.0));
        loop.recordRunTime(2);
        assertThat(loop.cost(), closeTo(0.002 / 0.2 + 0.4 * 0.003, 1e-12));
    }

    @Test
    void anotherProbePaysOffWhileThePayoffExceedsTheCost() {
        loop.observedLambda = 0.5;
        loop.runTime = 1;
        // d = 1, Qmin = 2, λ = 0.5/(1 − 0.006): B = 2·(1 − λ) + λ − λ² = 2 − λ − λ².
        double lambda = 0.5 / 0.994;
        double b = 2 - lambda - lambda * lambda;
        loop.roundTrip = b - 1e-9;
        assertThat(loop.worthAnother(1, 2), is(true));
        loop.roundTrip = b + 1e-9;
        assertThat(loop.worthAnother(1, 2), is(false));
    }

    @Test
    void noMoreThanFourProbes() {
        assertThat(loop.worthAnother(3, 50), is(true));
        assertThat(loop.worthAnother(4, 50), is(false));
        assertThat("nor if no probed runner is eligible", loop.worthAnother(4, Double.POSITIVE_INFINITY), is(false));
    }

    @Test
    void noProbeAfterAnEmptyQueueButAnotherIfNoQueueIsKnown() {
        assertThat(loop.worthAnother(1, 0), is(false));
        loop.recordRunTime(1);
        loop.recordProbe(false, 9, 100);
        assertThat(loop.worthAnother(1, Double.POSITIVE_INFINITY), is(true));
    }

    @Test
    void shareOfLongQueuesFallsFasterWithMoreProbes() {
        assertThat(Payoff.s(0, 0.5, 2), is(1.0));
        assertThat(Payoff.s(3, 0.5, 1), closeTo(0.125, 1e-12));
        assertThat(Payoff.s(3, 0.5, 2), closeTo(Math.pow(0.5, 7), 1e-12));
        assertThat(Payoff.s(3, 0.5, 3), lessThan(Payoff.s(3, 0.5, 2)));
    }
}
