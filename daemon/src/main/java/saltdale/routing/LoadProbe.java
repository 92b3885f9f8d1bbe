package saltdale.routing;

import java.time.Duration;
import java.util.Map;
import saltdale.protocol.Head;
import saltdale.protocol.HttpWriter;
import saltdale.protocol.LoadReportParser;
import saltdale.transport.SendProgress;

/** One request to a runner for its load report. */
final class LoadProbe implements HttpCall.Callback {
    private final Router router;
    private final RunnerEndpoint endpoint;
    private final Duration startedAt;
    private HttpCall call;
    private boolean retried;

    LoadProbe(Router router, RunnerEndpoint endpoint) {
        this.router = router;
        this.endpoint = endpoint;
        this.startedAt = router.loop().now();
    }

    /** Sends the probe. */
    void start() {
        call = HttpCall.start(endpoint.pool, this, HttpWriter.request("GET", "/metrics/load", endpoint.address));
        if (call == null) {
            finish(null);
            return;
        }
        // The connection timeout, and the same time again for the response.
        call.setTimeout(router.loop(), router.responseTimeout().multipliedBy(2));
    }

    private void finish(Map<String, Double> values) {
        router.probeCompleted(endpoint, values, router.loop().now().minus(startedAt));
    }

    @Override
    public void onResponse(Head head, byte[] body) {
        finish(head.status() == 200 ? LoadReportParser.parse(body) : null);
    }

    @Override
    public void onFailure(SendProgress progress, boolean malformed) {
        router.counters().malformedResponses += malformed ? 1 : 0;
        boolean early = router.loop().now().minus(startedAt).compareTo(router.responseTimeout()) < 0;
        if (early && call.isReused() && !malformed && !retried) {
            // A reset of a pooled connection does not mean that the runner is unresponsive: retry on a new connection.
            retried = true;
            router.counters().probes++;
            endpoint.pool.closeIdle();
            start();
        } else {
            finish(null);
        }
    }
}
