package saltdale.proxy;

import java.util.List;

/** What a proxy is told of its machine and of the deployment; spans in nanoseconds. */
public record ProxySettings(
        String name,
        String host,
        String zone,
        List<String> seeds,
        long heartbeat,
        double retryRatio,
        long retryWindow,
        double retrySlack) {}
