package saltdale.rig.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import saltdale.model.LoadReport;
import saltdale.rig.fleet.RunnerJob;
import saltdale.rig.plan.Trouble.Kind;

/** What a runner tells of a job: in order, each until it is answered. */
final class JobReports {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_TRIES = 10;
    private static final Duration HELD = Duration.ofMillis(250);
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final StandInFleet fleet;
    private final StandInRunner runner;
    private final RunnerJob work;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private byte[] sending; // what is told just now, or to be told again
    private boolean busy;
    private int tries;

    JobReports(StandInRunner runner, RunnerJob work) {
        this.fleet = runner.fleet;
        this.runner = runner;
        this.work = work;
    }

    void add(String state, double share, String result) {
        if (runner.has(Kind.NO_NEWS)) {
            return;
        }
        ObjectNode object = JSON.createObjectNode();
        object.put("id", work.id).put("from", "r" + runner.number).put("state", state);
        if (share >= 0) {
            object.put("share", share);
        }
        if (result != null) {
            object.put("result", result);
        }
        if (!state.equals("started") && !state.equals("running")) {
            LoadReport r = runner.model.report(fleet.origin.now());
            object.putObject("load")
                    .put("concurrent", r.inFlight())
                    .put("depth", r.queue())
                    .put("x0", r.freeSlots());
        }
        byte[] body = object.toString().getBytes(StandardCharsets.UTF_8);
        byte[] head = ("POST /_jobs/news HTTP/1.1\r\nHost: "
                        + LoopbackAddresses.text(fleet.places.dispatcher(work.dispatcher))
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] call = new byte[head.length + body.length];
        System.arraycopy(head, 0, call, 0, head.length);
        System.arraycopy(body, 0, call, head.length, body.length);
        boolean passes = runner.has(Kind.SHUFFLED_NEWS) && !waiting.isEmpty();
        if (passes) {
            waiting.addFirst(call);
        } else {
            waiting.addLast(call);
        }
        if (runner.has(Kind.TWICE_NEWS)) {
            waiting.addLast(call);
        }
        // Out of order: held a little, so that there is another to pass it.
        fleet.loopThread.loop.schedule(runner.has(Kind.SHUFFLED_NEWS) && !passes ? HELD : Duration.ZERO, this::next);
    }

    private void next() {
        if (busy || sending == null && waiting.isEmpty()) {
            return;
        }
        if (runner.silent) {
            sending = null;
            waiting.clear();
            return;
        }
        if (runner.endpoints.get(work.dispatcher).isMuted()) {
            fleet.loopThread.loop.schedule(PAUSE, this::next); // the link is cut: until it is back
            return;
        }
        busy = true;
        // Out of the queue: guards against another that passes it meanwhile and would be dropped in its place.
        sending = sending == null ? waiting.poll() : sending;
        new JobReportCall(fleet.loopThread, fleet.callBack(runner.number, work.dispatcher), sending, this::told)
                .begin();
    }

    private void told(boolean heard) {
        busy = false;
        if (heard || ++tries >= MOST_TRIES) {
            fleet.newsLost += heard ? 0 : 1;
            tries = 0;
            sending = null;
            next();
        } else {
            fleet.loopThread.loop.schedule(PAUSE, this::next);
        }
    }
}
