package saltdale.proxy;

import java.util.List;

/**
 * What a proxy is told of its machine and of the deployment; spans in nanoseconds.
 *
 * @param configApply so long after its acknowledgement a configuration must be in force everywhere
 */
public record ProxySettings(
        String name,
        String host,
        String zone,
        List<String> seeds,
        long heartbeat,
        long configApply,
        double retryRatio,
        long retryWindow,
        double retrySlack) {}
