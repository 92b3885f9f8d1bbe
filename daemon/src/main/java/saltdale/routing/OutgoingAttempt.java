package saltdale.routing;

import java.time.Duration;
import saltdale.model.Attempt;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.protocol.Head;
import saltdale.protocol.HttpWriter;
import saltdale.protocol.LoadReportParser;
import saltdale.transport.Connection;
import saltdale.transport.SendProgress;
import saltdale.transport.Timer;

/** Sends an attempt to its runner and reports its end to the dispatcher exactly once; later events are ignored. */
final class OutgoingAttempt implements HttpCall.Callback {
    private final Router router;
    private final PendingRequest pending;
    final Attempt attempt;
    final RunnerEndpoint endpoint;
    private HttpCall call;
    private SendProgress progress = SendProgress.UNSENT;
    private boolean stopping;
    private Timer timeoutTimer;
    private RetainedConnection retained; // null while the call is in progress or if the runner has not accepted the job
    /** The response body for the client, once the runner has sent one. */
    byte[] result;

    OutgoingAttempt(Router router, PendingRequest pending, Attempt attempt, RunnerEndpoint endpoint) {
        this.router = router;
        this.pending = pending;
        this.attempt = attempt;
        this.endpoint = endpoint;
    }

    /** Returns whether the attempt has ended for the dispatcher. */
    boolean isFinished() {
        return attempt.outcome != null;
    }

    /** Returns whether the runner has accepted the job with a 202 response. */
    boolean isAccepted() {
        return progress == SendProgress.ACCEPTED;
    }

    /** Returns the request that the attempt belongs to. */
    PendingRequest pendingRequest() {
        return pending;
    }

    /** Sends the attempt; {@code remainingMillis} is the time left for the client, {@code timeout} may be null. */
    void start(long remainingMillis, Duration timeout) {
        if (timeout != null) {
            timeoutTimer = router.loop().schedule(timeout, () -> stop(Outcome.TIMED_OUT));
        }
        call = HttpCall.start(
                endpoint.pool,
                this,
                HttpWriter.forwardedRequest(pending.head, pending.body.length, remainingMillis),
                pending.body);
        if (call == null) {
            end(Outcome.NEVER_SENT, null); // the dispatcher is out of file descriptors, which is no fault of the runner
        }
    }

    /** Ends the attempt for the dispatcher; events that arrive later are ignored. */
    void end(Outcome outcome, LoadReport report) {
        if (isFinished()) {
            return;
        }
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        if (retained != null) {
            retained.release();
        }
        if (call != null && progress != SendProgress.ACCEPTED) {
            router.loop().schedule(router.responseTimeout(), call::abandon); // the response may still be on its way
        }
        router.attemptEnded(this, outcome, report);
    }

    /**
     * Stops the attempt at the runner. Before the 202 response, closing the connection is enough. After it, or after a
     * job update that arrived before it, the job is cancelled by its id. The attempt then ends only when the
     * cancellation has been answered, so that no other attempt is sent while this one may still run.
     */
    void stop(Outcome outcome) {
        if (isFinished() || stopping) {
            return;
        }
        stopping = true;
        if (call == null) {
            end(Outcome.NEVER_SENT, null);
        } else if (progress == SendProgress.ACCEPTED || attempt.startedAt != null) {
            cancelJob(router.responseTimeout().dividedBy(8), () -> end(outcome, null));
        } else {
            progress = call.progress();
            call.abandon();
            if (progress.isIncomplete()) {
                end(Outcome.NEVER_SENT, null);
                return;
            }
            cancelJob(null, () -> {}); // the runner may have sent a 202 before it saw the connection close
            end(outcome, null);
        }
    }

    /**
     * Sends the cancellation of the job. With a retry delay, {@code completion} runs once the cancellation has been
     * answered, or has been written to a runner that does not respond. A cancellation that could not be written, or
     * whose connection was reset, may not have arrived and is sent again. Without a retry delay it is sent only once.
     */
    private void cancelJob(Duration retryDelay, Runnable completion) {
        byte[] message = HttpWriter.request("DELETE", "/jobs/" + pending.id, endpoint.address);
        HttpCall.Callback callback = new HttpCall.Callback() {
            @Override
            public void onResponse(Head head, byte[] body) {
                completion.run();
            }

            @Override
            public void onFailure(SendProgress cancelProgress, boolean malformed) {
                retryCancel(retryDelay, completion);
            }
        };
        Connection open = retained == null ? null : retained.take();
        HttpCall cancelCall = open != null
                ? HttpCall.start(endpoint.pool, open, callback, message)
                : HttpCall.start(endpoint.pool, callback, message);
        if (cancelCall == null) {
            retryCancel(retryDelay, completion);
            return;
        }
        router.loop()
                .schedule(
                        router.responseTimeout(),
                        () -> { // the runner's machine may have vanished without closing its connections
                            SendProgress cancelProgress = cancelCall.progress();
                            if (!cancelCall.abandon()) {
                                return;
                            } else if (cancelProgress == SendProgress.WRITTEN) {
                                completion.run();
                            } else {
                                retryCancel(retryDelay, completion);
                            }
                        });
    }

    /**
     * Sends the cancellation again after a delay, which doubles each time. Otherwise the attempt would end while an
     * unreachable runner may still execute the job, and another attempt would run a second copy of it.
     */
    private void retryCancel(Duration retryDelay, Runnable completion) {
        if (retryDelay == null) {
            completion.run();
            return;
        }
        router.loop().schedule(retryDelay, () -> {
            if (!isFinished()) {
                cancelJob(retryDelay.multipliedBy(2), completion);
            }
        });
    }

    @Override
    public boolean retainConnection(Head head, Connection connection) {
        if (head.status() != 202 || isFinished()) {
            return false;
        }
        retained = new RetainedConnection(router.socketBudget(), endpoint.pool, connection);
        return true;
    }

    @Override
    public void onResponse(Head head, byte[] body) {
        LoadReport report = Router.toLoadReport(LoadReportParser.parsePairs(head.header("Server-Load")));
        boolean notStarted = "1".equals(head.header("Not-Started"));
        if (head.status() == 202) {
            progress = SendProgress.ACCEPTED;
        } else if ((head.status() == 503 || head.status() == 504) && notStarted) {
            end(Outcome.TURNED_AWAY, report);
        } else {
            end(Outcome.ERROR, report);
        }
    }

    @Override
    public void onFailure(SendProgress callProgress, boolean malformed) {
        progress = callProgress;
        router.counters().malformedResponses += malformed ? 1 : 0;
        end(callProgress.isIncomplete() ? Outcome.NOT_CONNECTED : Outcome.BROKEN, null);
    }
}
