package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import saltdale.model.LoadReport;
import saltdale.model.Workload;
import saltdale.protocol.Head;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.Work;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;
import saltdale.transport.Connection;

/** A connection from a dispatcher. */
final class Served extends Exchange {
    private final StandInFleet fleet;
    private final Gate gate;
    private final Box box;
    private Work unanswered;

    Served(Gate gate, Connection connection) {
        super(connection, gate.box.fleet.origin);
        this.fleet = gate.box.fleet;
        this.gate = gate;
        this.box = gate.box;
    }

    void reading(boolean wanted) {
        connection.reading(wanted);
    }

    void drop() {
        connection.close();
    }

    @Override
    public void ended(String cause) {
        gate.open.remove(this);
        if (unanswered != null) { // closed before the 202: given up
            box.model.takeBack(fleet.origin.now(), unanswered.id, gate.dispatcher);
            fleet.witness.over(fleet.origin.now(), unanswered.id, box.number);
            box.schedule();
        }
    }

    @Override
    protected void requested(Head head, byte[] body, Duration first) {
        fleet.requests++;
        String path = head.path();
        if (head.method().equals("POST")) {
            job(head, first);
        } else if (head.method().equals("DELETE") && path.startsWith("/jobs/")) {
            String id = path.substring("/jobs/".length());
            box.model.takeBack(fleet.origin.now(), id, gate.dispatcher);
            fleet.witness.over(fleet.origin.now(), id, box.number);
            box.schedule();
            say(answer(204, "", ""));
        } else if (path.equals("/alive") && fleet.day.orders.probes) {
            say(answer(200, "", ""));
        } else if (path.equals("/metrics/load") && fleet.day.orders.probes) {
            say(answer(200, "Content-Type: application/json\r\n", load(report())));
        } else {
            say(answer(404, "", ""));
        }
    }

    private LoadReport report() {
        LoadReport report = box.model.report(fleet.origin.now());
        box.schedule();
        fleet.watch.told(box.number, report);
        return report;
    }

    private void job(Head head, Duration first) {
        String path = head.path();
        int slash = path.indexOf('/', 1);
        Workload workload = fleet.workloads.get(path.substring(1, slash < 0 ? path.length() : slash));
        String id = head.single("Request-Id");
        String size = head.header(StandInFleet.WORK);
        if (workload == null || id == null || size == null || !size.matches("\\d{1,12}")) {
            say(answer(id == null ? 404 : 400, "", ""));
            return;
        }
        Duration now = fleet.origin.now();
        Work work = new Work(
                id,
                workload.repeat == Workload.Repeat.PURE ? null : head.single("Idempotency-Key"),
                workload,
                Long.parseLong(size) / 1e6,
                gate.dispatcher);
        fleet.witness.reached(first, now, id, box.number, gate.dispatcher, work.size);
        if (!box.model.isUp()) {
            drop();
            return;
        }
        unanswered = work;
        RunnerModel.Offer offer = box.model.offer(now, work);
        switch (offer) {
            case TAKEN -> {
                if (box.has(Kind.EARLY_NEWS)) {
                    fleet.loopThread.loop.after(Duration.ofMillis(20), () -> say(answer(202, "", "")));
                } else {
                    say(answer(202, "", ""));
                }
            }
            case FULL, DRAINING -> {
                fleet.witness.unstarted(now, id, box.number);
                say(answer(503, "Not-Started: 1\r\n" + header(), ""));
            }
            case ERROR -> {
                fleet.witness.over(now, id, box.number);
                say(answer(500, header(), ""));
            }
            case FELL -> {
                fleet.witness.over(now, id, box.number);
                box.gates.forEach(Gate::shut);
            }
        }
        box.schedule();
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
        if (gate.isMuted()) {
            return;
        }
        Trouble cut = box.wire(Kind.CUT_ANSWERS);
        Trouble drip = box.wire(Kind.DRIP_ANSWERS);
        if (cut != null && cut.size() < answer.length) {
            Work lost = unanswered;
            unanswered = null;
            connection.send(ByteBuffer.wrap(answer, 0, (int) cut.size()));
            connection.finish();
            gate.open.remove(this);
            if (lost != null) {
                fleet.witness.over(fleet.origin.now(), lost.id, box.number); // as the dispatcher sees it
            }
        } else if (drip != null) {
            drip(answer, 0, Duration.ofNanos((long) (drip.size() * 1e6)));
        } else {
            unanswered = null;
            connection.send(ByteBuffer.wrap(answer));
            answered();
        }
    }

    private void drip(byte[] answer, int from, Duration gap) {
        if (!connection.isOpen()) {
            return;
        }
        connection.send(ByteBuffer.wrap(answer, from, 1));
        if (from + 1 < answer.length) {
            fleet.loopThread.loop.after(gap, () -> drip(answer, from + 1, gap));
        } else {
            unanswered = null;
            answered();
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
