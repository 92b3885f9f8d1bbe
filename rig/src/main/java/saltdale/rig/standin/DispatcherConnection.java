package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import saltdale.model.LoadReport;
import saltdale.model.Workload;
import saltdale.protocol.Head;
import saltdale.rig.fleet.RunnerJob;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;
import saltdale.transport.Connection;

/** A connection from a dispatcher. */
final class DispatcherConnection extends Exchange {
    private final StandInFleet fleet;
    private final RunnerEndpoint endpoint;
    private final StandInRunner runner;
    private RunnerJob unanswered;

    DispatcherConnection(RunnerEndpoint endpoint, Connection connection) {
        super(connection, endpoint.runner.fleet.origin);
        this.fleet = endpoint.runner.fleet;
        this.endpoint = endpoint;
        this.runner = endpoint.runner;
    }

    void reading(boolean wanted) {
        connection.setReadEnabled(wanted);
    }

    void drop() {
        connection.close();
    }

    @Override
    public void disconnected(String cause) {
        endpoint.open.remove(this);
        if (unanswered != null) { // closed before the 202: given up
            runner.model.cancel(fleet.origin.now(), unanswered.id, endpoint.dispatcher);
            fleet.witness.attemptEnded(fleet.origin.now(), unanswered.id, runner.number);
            runner.schedule();
        }
    }

    @Override
    protected void onRequest(Head head, byte[] body, Duration first) {
        fleet.requests++;
        String path = head.path();
        if (head.method().equals("POST")) {
            job(head, first);
        } else if (head.method().equals("DELETE") && path.startsWith("/jobs/")) {
            String id = path.substring("/jobs/".length());
            runner.model.cancel(fleet.origin.now(), id, endpoint.dispatcher);
            fleet.witness.attemptEnded(fleet.origin.now(), id, runner.number);
            runner.schedule();
            say(answer(204, "", ""));
        } else if (path.equals("/alive") && fleet.day.dispatcherSettings.mayProbe) {
            say(answer(200, "", ""));
        } else if (path.equals("/metrics/load") && fleet.day.dispatcherSettings.mayProbe) {
            say(answer(200, "Content-Type: application/json\r\n", load(report())));
        } else {
            say(answer(404, "", ""));
        }
    }

    private LoadReport report() {
        LoadReport report = runner.model.report(fleet.origin.now());
        runner.schedule();
        fleet.watch.recordReport(runner.number, report);
        return report;
    }

    private void job(Head head, Duration first) {
        String path = head.path();
        int slash = path.indexOf('/', 1);
        Workload workload = fleet.workloads.get(path.substring(1, slash < 0 ? path.length() : slash));
        String id = head.uniqueHeader("Request-Id");
        String size = head.header(StandInFleet.WORK_HEADER);
        if (workload == null || id == null || size == null || !size.matches("\\d{1,12}")) {
            say(answer(id == null ? 404 : 400, "", ""));
            return;
        }
        Duration now = fleet.origin.now();
        RunnerJob work = new RunnerJob(
                id,
                workload.repeatSafety == Workload.RepeatSafety.PURE ? null : head.uniqueHeader("Idempotency-Key"),
                workload,
                Long.parseLong(size) / 1e6,
                endpoint.dispatcher);
        fleet.witness.attemptReceived(first, now, id, runner.number, endpoint.dispatcher, work.sizeSeconds);
        if (!runner.model.isUp()) {
            drop();
            return;
        }
        unanswered = work;
        RunnerModel.OfferResult offer = runner.model.offer(now, work);
        switch (offer) {
            case ACCEPTED -> {
                if (runner.has(Kind.EARLY_NEWS)) {
                    fleet.loopThread.loop.schedule(Duration.ofMillis(20), () -> say(answer(202, "", "")));
                } else {
                    say(answer(202, "", ""));
                }
            }
            case FULL, DRAINING -> {
                fleet.witness.attemptNotStarted(now, id, runner.number);
                say(answer(503, "Not-Started: 1\r\n" + header(), ""));
            }
            case ERROR -> {
                fleet.witness.attemptEnded(now, id, runner.number);
                say(answer(500, header(), ""));
            }
            case CRASHED -> {
                fleet.witness.attemptEnded(now, id, runner.number);
                runner.endpoints.forEach(RunnerEndpoint::shut);
            }
        }
        runner.schedule();
    }

    private String header() {
        LoadReport r = report();
        return String.format(
                Locale.ROOT,
                "Server-Load: concurrent=%.0f,depth=%.0f,x0=%.0f\r\n",
                r.inFlight(),
                r.queue(),
                r.freeSlots());
    }

    /** Sends an answer, as whole as the wire lets it be. */
    private void say(byte[] answer) {
        if (endpoint.isMuted()) {
            return;
        }
        Trouble cut = runner.wire(Kind.CUT_ANSWERS);
        Trouble drip = runner.wire(Kind.DRIP_ANSWERS);
        if (cut != null && cut.size() < answer.length) {
            RunnerJob lost = unanswered;
            unanswered = null;
            connection.send(ByteBuffer.wrap(answer, 0, (int) cut.size()));
            connection.closeGracefully();
            endpoint.open.remove(this);
            if (lost != null) {
                fleet.witness.attemptEnded(fleet.origin.now(), lost.id, runner.number); // as the dispatcher sees it
            }
        } else if (drip != null) {
            drip(answer, 0, Duration.ofNanos((long) (drip.size() * 1e6)));
        } else {
            unanswered = null;
            connection.send(ByteBuffer.wrap(answer));
            responseSent();
        }
    }

    private void drip(byte[] answer, int from, Duration gap) {
        if (!connection.isOpen()) {
            return;
        }
        connection.send(ByteBuffer.wrap(answer, from, 1));
        if (from + 1 < answer.length) {
            fleet.loopThread.loop.schedule(gap, () -> drip(answer, from + 1, gap));
        } else {
            unanswered = null;
            responseSent();
        }
    }

    private static String load(LoadReport r) {
        return String.format(
                Locale.ROOT,
                "{\"concurrent\":%.0f,\"depth\":%.0f,\"x0\":%.0f}",
                r.inFlight(),
                r.queue(),
                r.freeSlots());
    }
}
