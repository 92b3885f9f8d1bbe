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

/** One dispatch on its way: it ends once for the dispatcher, whatever comes later. */
final class Sending implements Call.Back {
    private final Router router;
    private final Held held;
    final Attempt dispatch;
    final Target target;
    private Call call;
    private SendProgress reach = SendProgress.UNSENT;
    private boolean calledOff;
    private Timer limit;
    private Kept kept; // null while its call is out, and where the runner has not taken it
    /** The body for the client, where the runner has made one. */
    byte[] result;

    Sending(Router router, Held held, Attempt dispatch, Target target) {
        this.router = router;
        this.held = held;
        this.dispatch = dispatch;
        this.target = target;
    }

    boolean isOver() {
        return dispatch.outcome != null;
    }

    boolean isTaken() {
        return reach == SendProgress.ACCEPTED;
    }

    Held held() {
        return held;
    }

    void begin(long patienceMillis, Duration timeOut) {
        if (timeOut != null) {
            limit = router.loop().schedule(timeOut, () -> stop(Outcome.TIMED_OUT));
        }
        call = Call.begin(
                target.pool, this, HttpWriter.forwardedRequest(held.head, held.body.length, patienceMillis), held.body);
        if (call == null) {
            end(Outcome.NEVER_SENT, null); // for want of a descriptor of ours, which is no fault of the runner's
        }
    }

    /** Ends it for the dispatcher; what comes of it later is passed over. */
    void end(Outcome outcome, LoadReport report) {
        if (isOver()) {
            return;
        }
        if (limit != null) {
            limit.cancel();
        }
        if (kept != null) {
            kept.rest();
        }
        if (call != null && reach != SendProgress.ACCEPTED) {
            router.loop().schedule(router.answerLimit(), call::abandon); // its answer may still be on the way
        }
        router.ended(this, outcome, report);
    }

    /**
     * Gives it up at the runner. Before the 202 that is closing the connection. After it, or after a call-back
     * that has overtaken it, the job is taken back by name, and the dispatch ends when that has been answered, so
     * that no other is out before.
     */
    void stop(Outcome outcome) {
        if (isOver() || calledOff) {
            return;
        }
        calledOff = true;
        if (call == null) {
            end(Outcome.NEVER_SENT, null);
        } else if (reach == SendProgress.ACCEPTED || dispatch.startedAt != null) {
            takeBack(router.answerLimit().dividedBy(8), () -> end(outcome, null));
        } else {
            reach = call.reach();
            call.abandon();
            if (reach.isIncomplete()) {
                end(Outcome.NEVER_SENT, null);
                return;
            }
            takeBack(null, () -> {}); // guards against a 202 that crosses the closing
            end(outcome, null);
        }
    }

    /**
     * Where a pause is given, the job is out until the word has been answered, or written to a machine that says
     * nothing: a word that could not be written, or met a reset, may never have come and is sent again.
     */
    private void takeBack(Duration pause, Runnable after) {
        byte[] text = HttpWriter.request("DELETE", "/jobs/" + held.id, target.dial);
        Call.Back back = new Call.Back() {
            @Override
            public void answered(Head head, byte[] body) {
                after.run();
            }

            @Override
            public void broke(SendProgress so, boolean malformed) {
                again(pause, after);
            }
        };
        Connection open = kept == null ? null : kept.take();
        Call word = open != null ? Call.begin(target.pool, open, back, text) : Call.begin(target.pool, back, text);
        if (word == null) {
            again(pause, after);
            return;
        }
        router.loop()
                .schedule(
                        router.answerLimit(),
                        () -> { // guards against a machine that has vanished
                            SendProgress so = word.reach();
                            if (!word.abandon()) {
                                return;
                            } else if (so == SendProgress.WRITTEN) {
                                after.run();
                            } else {
                                again(pause, after);
                            }
                        });
    }

    /** Guards against a second copy of what a machine that can't be reached may still be running. */
    private void again(Duration pause, Runnable after) {
        if (pause == null) {
            after.run();
            return;
        }
        router.loop().schedule(pause, () -> {
            if (!isOver()) {
                takeBack(pause.multipliedBy(2), after);
            }
        });
    }

    @Override
    public boolean keeps(Head head, Connection connection) {
        if (head.status() != 202 || isOver()) {
            return false;
        }
        kept = new Kept(router.socketBudget(), target.pool, connection);
        return true;
    }

    @Override
    public void answered(Head head, byte[] body) {
        LoadReport report = Router.report(LoadReportParser.parsePairs(head.header("Server-Load")));
        boolean unstarted = "1".equals(head.header("Not-Started"));
        if (head.status() == 202) {
            reach = SendProgress.ACCEPTED;
        } else if ((head.status() == 503 || head.status() == 504) && unstarted) {
            end(Outcome.TURNED_AWAY, report);
        } else {
            end(Outcome.ERROR, report);
        }
    }

    @Override
    public void broke(SendProgress so, boolean malformed) {
        reach = so;
        router.counters().badAnswers += malformed ? 1 : 0;
        end(so.isIncomplete() ? Outcome.NOT_CONNECTED : Outcome.BROKEN, null);
    }
}
