package saltdale.routing;

import java.time.Duration;
import java.util.Map;
import saltdale.protocol.Head;
import saltdale.protocol.HttpWriter;
import saltdale.protocol.LoadReportParser;
import saltdale.transport.SendProgress;

/** One question to a runner for its load. */
final class Probe implements Call.Back {
    private final Router router;
    private final Target target;
    private final Duration askedAt;
    private Call call;
    private boolean again;

    Probe(Router router, Target target) {
        this.router = router;
        this.target = target;
        this.askedAt = router.loop().now();
    }

    void begin() {
        call = Call.begin(target.pool, this, HttpWriter.request("GET", "/metrics/load", target.dial));
        if (call == null) {
            finish(null);
            return;
        }
        // As long as a connection may take to come up, and as long again for the answer.
        call.within(router.loop(), router.answerLimit().multipliedBy(2));
    }

    private void finish(Map<String, Double> values) {
        router.probed(target, values, router.loop().now().minus(askedAt));
    }

    @Override
    public void answered(Head head, byte[] body) {
        finish(head.status() == 200 ? LoadReportParser.parse(body) : null);
    }

    @Override
    public void broke(SendProgress reach, boolean malformed) {
        router.counters().badAnswers += malformed ? 1 : 0;
        boolean early = router.loop().now().minus(askedAt).compareTo(router.answerLimit()) < 0;
        if (early && call.isReused() && !malformed && !again) {
            // Guards against taking a runner for silent whose kept connection was reset: another connection will tell.
            again = true;
            router.counters().probes++;
            target.pool.closeIdle();
            begin();
        } else {
            finish(null);
        }
    }
}
