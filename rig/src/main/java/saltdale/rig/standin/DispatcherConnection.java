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

/** A connection from a dispatcher to a runner: accepts jobs, cancellations and probes. */
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

    void setReadEnabled(boolean enabled) {
        connection.setReadEnabled(enabled);
    }

    void close() {
        connection.close();
    }

    @Override
    public void disconnected(String cause) {
        endpoint.open.remove(this);
        if (unanswered != null) { // the dispatcher closed before the 202: the job is cancelled
            runner.model.cancel(fleet.origin.now(), unanswered.id, endpoint.dispatcher);
            fleet.observer.attemptEnded(fleet.origin.now(), unanswered.id, runner.number);
            runner.schedule();
        }
    }

    @Override
    protected void onRequest(Head head, byte[] body, Duration firstByteAt) {
        fleet.requests++;
        String path = head.path();
        if (head.method().equals("POST")) {
            acceptJob(head, firstByteAt);
        } else if (head.method().equals("DELETE") && path.startsWith("/jobs/")) {
            String id = path.substring("/jobs/".length());
            runner.model.cancel(fleet.origin.now(), id, endpoint.dispatcher);
            fleet.observer.attemptEnded(fleet.origin.now(), id, runner.number);
            runner.schedule();
            send(answer(204, "", ""));
        } else if (path.equals("/alive") && fleet.day.dispatcherSettings.mayProbe) {
            send(answer(200, "", ""));
        } else if (path.equals("/metrics/load") && fleet.day.dispatcherSettings.mayProbe) {
            send(answer(200, "Content-Type: application/json\r\n", loadBody(report())));
        } else {
            send(answer(404, "", ""));
        }
    }

    private LoadReport report() {
        LoadReport report = runner.model.report(fleet.origin.now());
        runner.schedule();
        fleet.watch.recordReport(runner.number, report);
        return report;
    }

    private void acceptJob(Head head, Duration firstByteAt) {
        String path = head.path();
        int slash = path.indexOf('/', 1);
        Workload workload = fleet.workloads.get(path.substring(1, slash < 0 ? path.length() : slash));
        String id = head.uniqueHeader("Request-Id");
        String workMicros = head.header(StandInFleet.WORK_HEADER);
        if (workload == null || id == null || workMicros == null || !workMicros.matches("\\d{1,12}")) {
            send(answer(id == null ? 404 : 400, "", ""));
            return;
        }
        Duration now = fleet.origin.now();
        RunnerJob job = new RunnerJob(
                id,
                workload.repeatSafety == Workload.RepeatSafety.PURE ? null : head.uniqueHeader("Idempotency-Key"),
                workload,
                Long.parseLong(workMicros) / 1e6,
                endpoint.dispatcher);
        fleet.observer.attemptReceived(firstByteAt, now, id, runner.number, endpoint.dispatcher, job.sizeSeconds);
        if (!runner.model.isUp()) {
            close();
            return;
        }
        unanswered = job;
        RunnerModel.OfferResult offer = runner.model.offer(now, job);
        switch (offer) {
            case ACCEPTED -> {
                if (runner.has(Kind.EARLY_NEWS)) {
                    fleet.loopThread.loop.schedule(Duration.ofMillis(20), () -> send(answer(202, "", "")));
                } else {
                    send(answer(202, "", ""));
                }
            }
            case FULL, DRAINING -> {
                fleet.observer.attemptNotStarted(now, id, runner.number);
                send(answer(503, "Not-Started: 1\r\n" + loadHeader(), ""));
            }
            case ERROR -> {
                fleet.observer.attemptEnded(now, id, runner.number);
                send(answer(500, loadHeader(), ""));
            }
            case CRASHED -> {
                fleet.observer.attemptEnded(now, id, runner.number);
                runner.endpoints.forEach(RunnerEndpoint::close);
            }
        }
        runner.schedule();
    }

    private String loadHeader() {
        LoadReport load = report();
        return String.format(
                Locale.ROOT,
                "Server-Load: concurrent=%.0f,depth=%.0f,x0=%.0f\r\n",
                load.inFlight(),
                load.queue(),
                load.freeSlots());
    }

    /** Sends a response, truncated or byte by byte if a wire trouble asks for it. */
    private void send(byte[] answer) {
        if (endpoint.isSilent()) {
            return;
        }
        Trouble cut = runner.wireTrouble(Kind.CUT_ANSWERS);
        Trouble drip = runner.wireTrouble(Kind.DRIP_ANSWERS);
        if (cut != null && cut.size() < answer.length) {
            RunnerJob truncated = unanswered;
            unanswered = null;
            connection.send(ByteBuffer.wrap(answer, 0, (int) cut.size()));
            connection.closeGracefully();
            endpoint.open.remove(this);
            if (truncated != null) {
                // From the view of the dispatcher the attempt has ended.
                fleet.observer.attemptEnded(fleet.origin.now(), truncated.id, runner.number);
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

    private static String loadBody(LoadReport load) {
        return String.format(
                Locale.ROOT,
                "{\"concurrent\":%.0f,\"depth\":%.0f,\"x0\":%.0f}",
                load.inFlight(),
                load.queue(),
                load.freeSlots());
    }
}
