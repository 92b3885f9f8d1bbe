package saltdale.proxy;

import java.util.List;

/**
 * A proxy's own settings and those of the deployment.
 *
 * @param seeds hosts of control nodes to contact first
 * @param configApplyNanos time after its acknowledgement within which a configuration must be in force everywhere
 */
public record ProxySettings(
        String name,
        String host,
        String zone,
        List<String> seeds,
        long heartbeatNanos,
        long configApplyNanos,
        double retryBudgetRatio,
        long retryBudgetWindowNanos,
        double retryBudgetSlack) {}
