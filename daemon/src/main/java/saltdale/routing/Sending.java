package saltdale.routing;

import java.time.Duration;
import saltdale.model.Dispatch;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.protocol.Head;
import saltdale.protocol.HttpWriter;
import saltdale.protocol.Load;
import saltdale.transport.Reach;
import saltdale.transport.Timer;

/** One dispatch on its way: it ends once for the dispatcher, whatever comes later. */
final class Sending implements Call.Back {
    private final Router router;
    private final Held held;
    final Dispatch dispatch;
    final Target target;
    private Call call;
    private Reach reach = Reach.UNSENT;
    private boolean calledOff;
    private Timer limit;
    /** The body for the client, where the runner has made one. */
    byte[] result;

    Sending(Router router, Held held, Dispatch dispatch, Target target) {
        this.router = router;
        this.held = held;
        this.dispatch = dispatch;
        this.target = target;
    }

    boolean isOver() {
        return dispatch.outcome != null;
    }

    boolean isTaken() {
        return reach == Reach.TAKEN;
    }

    Held held() {
        return held;
    }

    void begin(long patienceMillis, Duration timeOut) {
        if (timeOut != null) {
            limit = router.loop().after(timeOut, () -> stop(Outcome.TIMED_OUT));
        }
        call = Call.begin(target.pool, this,
                HttpWriter.passedOn(held.head, held.body.length, patienceMillis), held.body);
        if (call == null) {
            end(Outcome.NEVER_SENT, null);  // for want of a descriptor of ours, which is no fault of the runner's
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
        if (call != null && reach != Reach.TAKEN) {
            router.loop().after(router.answerLimit(), call::abandon);  // its answer may still be on the way
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
        } else if (reach == Reach.TAKEN || dispatch.startedAt != null) {
            takeBack(() -> end(outcome, null));
        } else {
            reach = call.reach();
            call.abandon();
            if (reach.incomplete()) {
                end(Outcome.NEVER_SENT, null);
                return;
            }
            takeBack(() -> { });  // guards against a 202 that crosses the closing
            end(outcome, null);
        }
    }

    private void takeBack(Runnable after) {
        Call back = Call.begin(target.pool, new Call.Back() {
            @Override
            public void answered(Head head, byte[] body) {
                after.run();
            }

            @Override
            public void broke(Reach so, boolean malformed) {
                after.run();
            }
        }, HttpWriter.request("DELETE", "/jobs/" + held.id, target.dial));
        if (back == null) {
            after.run();
        } else {
            back.within(router.loop(), router.answerLimit());  // guards against a machine that has vanished
        }
    }

    @Override
    public void answered(Head head, byte[] body) {
        LoadReport report = Router.report(Load.pairs(head.header("Server-Load")));
        boolean unstarted = "1".equals(head.header("Not-Started"));
        if (head.status() == 202) {
            reach = Reach.TAKEN;
        } else if ((head.status() == 503 || head.status() == 504) && unstarted) {
            end(Outcome.TURNED_AWAY, report);
        } else {
            end(Outcome.ERROR, report);
        }
    }

    @Override
    public void broke(Reach so, boolean malformed) {
        reach = so;
        router.counters().badAnswers += malformed ? 1 : 0;
        end(so.incomplete() ? Outcome.NOT_CONNECTED : Outcome.BROKEN, null);
    }
}
