package saltdale.rig.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltdale.model.Workload;
import saltdale.rig.fleet.RunnerModel.Offer;
import saltdale.rig.plan.Make;

class RunnerModelTest implements RunnerModel.Told {
    private final List<String> told = new ArrayList<>();
    private final Workload workload = new Workload();
    private final Receipts all = new Receipts();
    private Receipts.Shared receipts = new Receipts.Shared(all, new Receipts(), new Receipts());

    @Override
    public void started(Duration at, Work work) {
        told.add(work.id + " started " + at.toMillis());
    }

    @Override
    public void running(Duration at, Work work, double share) {
        told.add(work.id + " at " + Math.round(share * 100) + "% " + at.toMillis());
    }

    @Override
    public void ended(Duration at, Work work, RunnerModel.End how) {
        told.add(work.id + " " + how + " " + at.toMillis());
    }

    private RunnerModel runner(Make make) {
        return new RunnerModel(make, receipts, 2, Duration.ofSeconds(1), 0.4, new SplittableRandom(1), this);
    }

    private Work work(String id, double size) {
        return new Work(id, null, workload, size, 0);
    }

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    /**
     * Mean time from arrival to end, in units of the mean size, over so many arrivals at this utilisation.
     */
    private double meanTime(int cores, double utilisation, int arrivals) {
        double[] sum = {0};
        int[] ended = {0};
        RunnerModel runner = new RunnerModel(
                Make.plain(cores, 1 << 20), null, 0, Duration.ZERO, 1, new SplittableRandom(1), new RunnerModel.Told() {
                    @Override
                    public void started(Duration at, Work work) {}

                    @Override
                    public void running(Duration at, Work work, double share) {}

                    @Override
                    public void ended(Duration at, Work work, RunnerModel.End how) {
                        ended[0]++;
                        sum[0] += at.minus((Duration) work.mark).toNanos() / 1e9;
                    }
                });
        SplittableRandom chance = new SplittableRandom(7);
        double at = 0;
        for (int i = 0; i < arrivals; i++) {
            at -= Math.log(1 - chance.nextDouble()) / (utilisation * cores);
            Work work = work("j" + i, -Math.log(1 - chance.nextDouble()));
            work.mark = Duration.ofNanos((long) (at * 1e9));
            runner.offer((Duration) work.mark, work);
        }
        runner.advance(Duration.ofSeconds((long) at + 1000));
        assertEquals(arrivals, ended[0]);
        return sum[0] / arrivals;
    }

    @Test
    void oneCoreWaitsAsTheClosedFormSays() {
        assertEquals(1 / (1 - 0.7), meanTime(1, 0.7, 200_000), 0.12); // M/M/1: 1 / (1 - rho)
    }

    @Test
    void severalCoresWaitAsErlangSays() {
        double a = 0.8 * 4;
        double all = 1 + a + a * a / 2 + a * a * a / 6;
        double queued = Math.pow(a, 4) / 24 / (1 - 0.8);
        double wait = queued / (all + queued) / (4 * (1 - 0.8)); // M/M/c, Erlang C
        assertEquals(1 + wait, meanTime(4, 0.8, 200_000), 0.08);
    }

    @Test
    void aColdRunnerIsSlowAndWarmsUpEvenly() {
        RunnerModel runner = new RunnerModel(
                Make.plain(1, 4).warming(0.25, Duration.ofSeconds(4)),
                null,
                0,
                Duration.ZERO,
                1,
                new SplittableRandom(1),
                this);
        runner.start(ms(0));
        runner.offer(ms(0), work("a", 1));
        assertEquals(0.625, runner.warmth(ms(2000)), 1e-9);
        runner.advance(ms(4000));
        // The integral of 0.25 + 0.75 t/4 is 1 at t = 2.23 s.
        assertTrue(told.get(1).startsWith("a DONE 22"), told.toString());
    }

    @Test
    void aColdRunnerFallsOverWhenPushedAndStaysDown() {
        RunnerModel runner = runner(Make.plain(1, 100).warming(0.25, Duration.ofSeconds(4)));
        runner.start(ms(0));
        // N = 2 x 0.25 x 1 s / 0.4 s = 1.25, so that 7 are borne; a long one is one, as nobody was told its size
        for (int i = 0; i < 7; i++) {
            assertEquals(Offer.TAKEN, runner.offer(ms(1), work(i == 0 ? "a" : "b" + i, i == 0 ? 40 : 0.1)));
        }
        assertEquals(Offer.FELL, runner.offer(ms(2), work("c", 0.1)));
        assertFalse(runner.isUp());
        assertTrue(told.contains("a LOST 2"), told.toString());
        runner.start(ms(9000));
        assertTrue(runner.isUp());
    }

    @Test
    void aWarmOneBearsTheSamePush() {
        RunnerModel runner = runner(Make.plain(1, 100));
        assertEquals(Offer.TAKEN, runner.offer(ms(1), work("a", 4)));
        assertEquals(Offer.TAKEN, runner.offer(ms(2), work("b", 4)));
    }

    @Test
    void itTurnsAwayBeyondItsQueue() {
        RunnerModel runner = runner(Make.plain(1, 1));
        runner.offer(ms(0), work("a", 1));
        runner.offer(ms(0), work("b", 1));
        assertEquals(Offer.FULL, runner.offer(ms(0), work("c", 1)));
        runner.advance(ms(1000));
        assertEquals(Offer.TAKEN, runner.offer(ms(1000), work("c", 1)));
    }

    @Test
    void jobsBeyondItsCoresShareThem() {
        Make make = new Make(
                "m",
                1,
                1,
                1,
                2,
                4,
                Make.Order.FIFO,
                0,
                4,
                1,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                ms(500),
                true);
        RunnerModel runner = runner(make);
        runner.offer(ms(0), work("a", 0.5));
        runner.offer(ms(0), work("b", 1));
        runner.advance(ms(2000));
        assertEquals(
                List.of(
                        "a started 0",
                        "b started 0",
                        "a at 50% 500",
                        "b at 25% 500",
                        "a DONE 1000",
                        "b at 50% 1000",
                        "b DONE 1500"),
                told);
    }

    @Test
    void slowedInTheMiddleItEndsLaterByThatMuch() {
        RunnerModel runner = runner(Make.plain(1, 4));
        runner.offer(ms(0), work("a", 1));
        runner.condition(ms(500), new Condition(4, false, 0, 0, 0, 1, 0, 0, 1));
        runner.advance(ms(5000));
        assertEquals("a DONE 2500", told.get(1));
    }

    @Test
    void stalledItDoesNothingUntilItIsOver() {
        RunnerModel runner = runner(Make.plain(1, 4));
        runner.offer(ms(0), work("a", 1));
        runner.condition(ms(500), new Condition(1, true, 0, 0, 0, 1, 0, 0, 1));
        runner.offer(ms(600), work("b", 1));
        runner.condition(ms(3000), Condition.GOOD);
        runner.advance(ms(9000));
        assertEquals(List.of("a started 0", "a DONE 3500", "b started 3500", "b DONE 4500"), told);
    }

    @Test
    void aDrainingRunnerHandsBackWhatHasNotBegun() {
        RunnerModel runner = runner(Make.plain(1, 4));
        runner.offer(ms(0), work("a", 1));
        runner.offer(ms(0), work("b", 1));
        runner.drain(ms(10), true);
        assertEquals(Offer.DRAINING, runner.offer(ms(11), work("c", 1)));
        runner.advance(ms(2000));
        assertEquals(List.of("a started 0", "b RETURNED 10", "a DONE 1000"), told);
    }

    @Test
    void aReceiptDropsARepeatWithinItsWindowOnly() {
        workload.dedupWindow = Duration.ofSeconds(2);
        RunnerModel runner = runner(Make.plain(1, 4));
        Work first = new Work("a", "r", workload, 1, 0);
        Work repeat = new Work("b", "r", workload, 1, 0);
        Work late = new Work("c", "r", workload, 1, 0);
        runner.offer(ms(0), first);
        runner.offer(ms(1500), repeat);
        runner.offer(ms(3000), late);
        runner.advance(ms(9000));
        assertFalse(first.isRepeat());
        assertTrue(repeat.isRepeat());
        assertFalse(late.isRepeat());
    }

    @Test
    void aReceiptIsKnownWithinItsWorkloadsGroupOnly() {
        workload.dedupWindow = Duration.ofSeconds(2);
        workload.dedupScope = Workload.DedupScope.CELL;
        Work first = new Work("a", "r", workload, 0.1, 0);
        Work elsewhere = new Work("a", "r", workload, 0.1, 0);
        runner(Make.plain(1, 4)).offer(ms(0), first);
        receipts = new Receipts.Shared(all, new Receipts(), new Receipts());
        runner(Make.plain(1, 4)).offer(ms(200), elsewhere);
        assertFalse(elsewhere.isRepeat());
        workload.dedupScope = Workload.DedupScope.ALL;
        runner(Make.plain(1, 4)).offer(ms(0), new Work("b", "s", workload, 0.1, 0));
        receipts = new Receipts.Shared(all, new Receipts(), new Receipts());
        Work again = new Work("b", "s", workload, 0.1, 0);
        runner(Make.plain(1, 4)).offer(ms(200), again);
        assertTrue(again.isRepeat());
    }

    @Test
    void aReportIsAsOldAsItsDelay() {
        RunnerModel runner = runner(Make.plain(1, 9).reporting(ms(100), ms(50)));
        runner.offer(ms(110), work("a", 9));
        runner.offer(ms(110), work("b", 9));
        assertEquals(0, runner.report(ms(249)).queue());
        assertEquals(1, runner.report(ms(250)).queue());
    }

    @Test
    void aReportAskedForWhileItTellsMakesNoEndCountTwice() {
        List<String> ends = new ArrayList<>();
        RunnerModel[] runner = new RunnerModel[1];
        runner[0] = new RunnerModel(
                Make.plain(2, 4), null, 0, Duration.ZERO, 1, new SplittableRandom(1), new RunnerModel.Told() {
                    @Override
                    public void started(Duration at, Work work) {}

                    @Override
                    public void running(Duration at, Work work, double share) {}

                    @Override
                    public void ended(Duration at, Work work, RunnerModel.End how) {
                        runner[0].report(ms(5000));
                        ends.add(work.id);
                    }
                });
        runner[0].offer(ms(0), work("a", 1));
        runner[0].offer(ms(0), work("b", 1));
        runner[0].advance(ms(2000));
        assertEquals(List.of("a", "b"), ends);
    }

    @Test
    void takenBackItGivesItsCoreToTheNext() {
        RunnerModel runner = runner(Make.plain(1, 4));
        runner.offer(ms(0), work("a", 1));
        runner.offer(ms(0), work("b", 1));
        assertTrue(runner.takeBack(ms(100), "a", 0));
        runner.advance(ms(2000));
        assertEquals(List.of("a started 0", "b started 100", "b DONE 1100"), told);
    }
}
