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
import saltdale.rig.fleet.RunnerModel.OfferResult;
import saltdale.rig.plan.RunnerType;

class RunnerModelTest implements RunnerModel.JobListener {
    private final List<String> events = new ArrayList<>();
    private final Workload workload = new Workload();
    private final ReceiptStore sharedReceipts = new ReceiptStore();
    private ReceiptStore.ByScope receipts =
            new ReceiptStore.ByScope(sharedReceipts, new ReceiptStore(), new ReceiptStore());

    @Override
    public void started(Duration at, RunnerJob job) {
        events.add(job.id + " started " + at.toMillis());
    }

    @Override
    public void progressed(Duration at, RunnerJob job, double share) {
        events.add(job.id + " at " + Math.round(share * 100) + "% " + at.toMillis());
    }

    @Override
    public void ended(Duration at, RunnerJob job, RunnerModel.JobEnd end) {
        events.add(job.id + " " + end + " " + at.toMillis());
    }

    private RunnerModel runner(RunnerType make) {
        return new RunnerModel(make, receipts, 2, Duration.ofSeconds(1), 0.4, new SplittableRandom(1), this);
    }

    private RunnerJob job(String id, double size) {
        return new RunnerJob(id, null, workload, size, 0);
    }

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    /** The mean time from arrival to end, in units of the mean size. */
    private double meanTime(int cores, double utilisation, int arrivals) {
        double[] sum = {0};
        int[] ended = {0};
        RunnerModel runner = new RunnerModel(
                RunnerType.plain(cores, 1 << 20),
                null,
                0,
                Duration.ZERO,
                1,
                new SplittableRandom(1),
                new RunnerModel.JobListener() {
                    @Override
                    public void started(Duration at, RunnerJob job) {}

                    @Override
                    public void progressed(Duration at, RunnerJob job, double share) {}

                    @Override
                    public void ended(Duration at, RunnerJob job, RunnerModel.JobEnd end) {
                        ended[0]++;
                        sum[0] += at.minus((Duration) job.attachment).toNanos() / 1e9;
                    }
                });
        SplittableRandom random = new SplittableRandom(7);
        double at = 0;
        for (int i = 0; i < arrivals; i++) {
            at -= Math.log(1 - random.nextDouble()) / (utilisation * cores);
            RunnerJob job = job("j" + i, -Math.log(1 - random.nextDouble()));
            job.attachment = Duration.ofNanos((long) (at * 1e9));
            runner.offer((Duration) job.attachment, job);
        }
        runner.advance(Duration.ofSeconds((long) at + 1000));
        assertEquals(arrivals, ended[0]);
        return sum[0] / arrivals;
    }

    @Test
    void meanTimeOnOneCoreMatchesTheoryOfMm1() {
        assertEquals(1 / (1 - 0.7), meanTime(1, 0.7, 200_000), 0.12); // M/M/1: 1 / (1 - rho)
    }

    @Test
    void meanTimeOnSeveralCoresMatchesErlangC() {
        double offeredLoad = 0.8 * 4;
        double all = 1 + offeredLoad + offeredLoad * offeredLoad / 2 + offeredLoad * offeredLoad * offeredLoad / 6;
        double queued = Math.pow(offeredLoad, 4) / 24 / (1 - 0.8);
        double wait = queued / (all + queued) / (4 * (1 - 0.8)); // M/M/c, Erlang C
        assertEquals(1 + wait, meanTime(4, 0.8, 200_000), 0.08);
    }

    @Test
    void capacityOfColdRunnerGrowsLinearly() {
        RunnerModel runner = new RunnerModel(
                RunnerType.plain(1, 4).withWarmUp(0.25, Duration.ofSeconds(4)),
                null,
                0,
                Duration.ZERO,
                1,
                new SplittableRandom(1),
                this);
        runner.start(ms(0));
        runner.offer(ms(0), job("a", 1));
        assertEquals(0.625, runner.capacityShare(ms(2000)), 1e-9);
        runner.advance(ms(4000));
        // The integral of 0.25 + 0.75 t/4 is 1 at t = 2.23 s.
        assertTrue(events.get(1).startsWith("a DONE 22"), events.toString());
    }

    @Test
    void overloadedColdRunnerCrashesUntilRestart() {
        RunnerModel runner = runner(RunnerType.plain(1, 100).withWarmUp(0.25, Duration.ofSeconds(4)));
        runner.start(ms(0));
        // N = 2 x 0.25 x 1 s / 0.4 s = 1.25, so that the limit is 7 jobs; the long one counts once, since its size
        // isn't known
        for (int i = 0; i < 7; i++) {
            assertEquals(OfferResult.ACCEPTED, runner.offer(ms(1), job(i == 0 ? "a" : "b" + i, i == 0 ? 40 : 0.1)));
        }
        assertEquals(OfferResult.CRASHED, runner.offer(ms(2), job("c", 0.1)));
        assertFalse(runner.isUp());
        assertTrue(events.contains("a LOST 2"), events.toString());
        runner.start(ms(9000));
        assertTrue(runner.isUp());
    }

    @Test
    void warmRunnerHasNoColdLimit() {
        RunnerModel runner = runner(RunnerType.plain(1, 100));
        assertEquals(OfferResult.ACCEPTED, runner.offer(ms(1), job("a", 4)));
        assertEquals(OfferResult.ACCEPTED, runner.offer(ms(2), job("b", 4)));
    }

    @Test
    void rejectsJobsWhenTheQueueIsFull() {
        RunnerModel runner = runner(RunnerType.plain(1, 1));
        runner.offer(ms(0), job("a", 1));
        runner.offer(ms(0), job("b", 1));
        assertEquals(OfferResult.FULL, runner.offer(ms(0), job("c", 1)));
        runner.advance(ms(1000));
        assertEquals(OfferResult.ACCEPTED, runner.offer(ms(1000), job("c", 1)));
    }

    @Test
    void moreRunningJobsThanCoresShareTheCores() {
        RunnerType make = new RunnerType(
                "m",
                1,
                1,
                1,
                2,
                4,
                RunnerType.Order.FIFO,
                0,
                4,
                1,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                ms(500),
                true);
        RunnerModel runner = runner(make);
        runner.offer(ms(0), job("a", 0.5));
        runner.offer(ms(0), job("b", 1));
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
                events);
    }

    @Test
    void slowdownDuringAJobDelaysItsEnd() {
        RunnerModel runner = runner(RunnerType.plain(1, 4));
        runner.offer(ms(0), job("a", 1));
        runner.setCondition(ms(500), new RunnerCondition(4, false, 0, 0, 0, 1, 0, 0, 1));
        runner.advance(ms(5000));
        assertEquals("a DONE 2500", events.get(1));
    }

    @Test
    void stalledRunnerMakesNoProgress() {
        RunnerModel runner = runner(RunnerType.plain(1, 4));
        runner.offer(ms(0), job("a", 1));
        runner.setCondition(ms(500), new RunnerCondition(1, true, 0, 0, 0, 1, 0, 0, 1));
        runner.offer(ms(600), job("b", 1));
        runner.setCondition(ms(3000), RunnerCondition.NORMAL);
        runner.advance(ms(9000));
        assertEquals(List.of("a started 0", "a DONE 3500", "b started 3500", "b DONE 4500"), events);
    }

    @Test
    void drainingRunnerReturnsWaitingJobs() {
        RunnerModel runner = runner(RunnerType.plain(1, 4));
        runner.offer(ms(0), job("a", 1));
        runner.offer(ms(0), job("b", 1));
        runner.drain(ms(10), true);
        assertEquals(OfferResult.DRAINING, runner.offer(ms(11), job("c", 1)));
        runner.advance(ms(2000));
        assertEquals(List.of("a started 0", "b RETURNED 10", "a DONE 1000"), events);
    }

    @Test
    void duplicatesAreRecognisedWithinTheWindowOnly() {
        workload.dedupWindow = Duration.ofSeconds(2);
        RunnerModel runner = runner(RunnerType.plain(1, 4));
        RunnerJob first = new RunnerJob("a", "r", workload, 1, 0);
        RunnerJob repeat = new RunnerJob("b", "r", workload, 1, 0);
        RunnerJob afterWindow = new RunnerJob("c", "r", workload, 1, 0);
        runner.offer(ms(0), first);
        runner.offer(ms(1500), repeat);
        runner.offer(ms(3000), afterWindow);
        runner.advance(ms(9000));
        assertFalse(first.isDuplicate());
        assertTrue(repeat.isDuplicate());
        assertFalse(afterWindow.isDuplicate());
    }

    @Test
    void duplicatesAreRecognisedWithinTheDedupScopeOnly() {
        workload.dedupWindow = Duration.ofSeconds(2);
        workload.dedupScope = Workload.DedupScope.CELL;
        RunnerJob first = new RunnerJob("a", "r", workload, 0.1, 0);
        RunnerJob inOtherCell = new RunnerJob("a", "r", workload, 0.1, 0);
        runner(RunnerType.plain(1, 4)).offer(ms(0), first);
        receipts = new ReceiptStore.ByScope(sharedReceipts, new ReceiptStore(), new ReceiptStore());
        runner(RunnerType.plain(1, 4)).offer(ms(200), inOtherCell);
        assertFalse(inOtherCell.isDuplicate());
        workload.dedupScope = Workload.DedupScope.ALL;
        runner(RunnerType.plain(1, 4)).offer(ms(0), new RunnerJob("b", "s", workload, 0.1, 0));
        receipts = new ReceiptStore.ByScope(sharedReceipts, new ReceiptStore(), new ReceiptStore());
        RunnerJob inSameScope = new RunnerJob("b", "s", workload, 0.1, 0);
        runner(RunnerType.plain(1, 4)).offer(ms(200), inSameScope);
        assertTrue(inSameScope.isDuplicate());
    }

    @Test
    void reportsAreAsOldAsTheirDelay() {
        RunnerModel runner = runner(RunnerType.plain(1, 9).withReporting(ms(100), ms(50)));
        runner.offer(ms(110), job("a", 9));
        runner.offer(ms(110), job("b", 9));
        assertEquals(0, runner.report(ms(249)).queue());
        assertEquals(1, runner.report(ms(250)).queue());
    }

    @Test
    void reportRequestedByListenerDoesNotRepeatEnds() {
        List<String> ends = new ArrayList<>();
        RunnerModel[] runner = new RunnerModel[1];
        runner[0] = new RunnerModel(
                RunnerType.plain(2, 4),
                null,
                0,
                Duration.ZERO,
                1,
                new SplittableRandom(1),
                new RunnerModel.JobListener() {
                    @Override
                    public void started(Duration at, RunnerJob job) {}

                    @Override
                    public void progressed(Duration at, RunnerJob job, double share) {}

                    @Override
                    public void ended(Duration at, RunnerJob job, RunnerModel.JobEnd end) {
                        runner[0].report(ms(5000));
                        ends.add(job.id);
                    }
                });
        runner[0].offer(ms(0), job("a", 1));
        runner[0].offer(ms(0), job("b", 1));
        runner[0].advance(ms(2000));
        assertEquals(List.of("a", "b"), ends);
    }

    @Test
    void cancelledJobFreesItsCoreForTheNext() {
        RunnerModel runner = runner(RunnerType.plain(1, 4));
        runner.offer(ms(0), job("a", 1));
        runner.offer(ms(0), job("b", 1));
        assertTrue(runner.cancel(ms(100), "a", 0));
        runner.advance(ms(2000));
        assertEquals(List.of("a started 0", "b started 100", "b DONE 1100"), events);
    }
}
