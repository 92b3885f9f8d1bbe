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

/** Sends the reports on one job to its dispatcher, in order, and retries each until it is answered. */
final class JobReports {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 10;
    private static final Duration SHUFFLE_DELAY = Duration.ofMillis(250);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private final StandInFleet fleet;
    private final StandInRunner runner;
    private final RunnerJob job;
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private byte[] current; // the report in flight or waiting for a retry
    private boolean callInProgress;
    private int attempts;

    JobReports(StandInRunner runner, RunnerJob job) {
        this.fleet = runner.fleet;
        this.runner = runner;
        this.job = job;
    }

    void add(String state, double share, String result) {
        if (runner.has(Kind.NO_NEWS)) {
            return;
        }
        ObjectNode object = JSON.createObjectNode();
        object.put("id", job.id).put("from", "r" + runner.number).put("state", state);
        if (share >= 0) {
            object.put("share", share);
        }
        if (result != null) {
            object.put("result", result);
        }
        if (!state.equals("started") && !state.equals("running")) {
            LoadReport load = runner.model.report(fleet.origin.now());
            object.putObject("load")
                    .put("concurrent", load.inFlight())
                    .put("depth", load.queue())
                    .put("x0", load.freeSlots());
        }
        byte[] body = object.toString().getBytes(StandardCharsets.UTF_8);
        byte[] head = ("POST /_jobs/news HTTP/1.1\r\nHost: "
                        + LoopbackAddresses.text(fleet.addresses.dispatcher(job.dispatcher))
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        boolean overtakes = runner.has(Kind.SHUFFLED_NEWS) && !queue.isEmpty();
        if (overtakes) {
            queue.addFirst(request);
        } else {
            queue.addLast(request);
        }
        if (runner.has(Kind.TWICE_NEWS)) {
            queue.addLast(request);
        }
        // For shuffled reports, delay this one so that a later report can overtake it.
        fleet.loopThread.loop.schedule(
                runner.has(Kind.SHUFFLED_NEWS) && !overtakes ? SHUFFLE_DELAY : Duration.ZERO, this::sendNext);
    }

    private void sendNext() {
        if (callInProgress || current == null && queue.isEmpty()) {
            return;
        }
        if (runner.silent) {
            current = null;
            queue.clear();
            return;
        }
        if (runner.endpoints.get(job.dispatcher).isSilent()) {
            fleet.loopThread.loop.schedule(RETRY_DELAY, this::sendNext); // the link is cut: poll until it is restored
            return;
        }
        callInProgress = true;
        // Removed from the queue before sending: a report that overtakes it meanwhile would otherwise be dropped in
        // its place.
        current = current == null ? queue.poll() : current;
        new JobReportCall(
                        fleet.loopThread, fleet.callbackPool(runner.number, job.dispatcher), current, this::onCallEnded)
                .start();
    }

    private void onCallEnded(boolean answered) {
        callInProgress = false;
        if (answered || ++attempts >= MAX_ATTEMPTS) {
            fleet.lostReports += answered ? 0 : 1;
            attempts = 0;
            current = null;
            sendNext();
        } else {
            fleet.loopThread.loop.schedule(RETRY_DELAY, this::sendNext);
        }
    }
}
