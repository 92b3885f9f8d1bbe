package saltdale.routing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.protocol.HostListUpdate;
import saltdale.transport.Address;
import saltdale.transport.ConnectionPool;

/** The known runners by their names in the runner list, with the connection pools to them. */
final class RunnerRegistry {
    private final Map<String, RunnerEndpoint> endpointsByName = new HashMap<>();
    private final Map<Runner, RunnerEndpoint> endpointsByRunner = new HashMap<>();
    private final Function<InetSocketAddress, ConnectionPool> poolFactory;
    /** The Unix time at which the clock of the event loop started. */
    private final long startMillis;
    /** How long a runner is kept that is in no list and that the dispatcher does not use any more. */
    private final Duration retention;

    RunnerRegistry(Function<InetSocketAddress, ConnectionPool> poolFactory, long startMillis, Duration retention) {
        this.poolFactory = poolFactory;
        this.startMillis = startMillis;
        this.retention = retention;
    }

    RunnerEndpoint endpointOf(Runner runner) {
        return endpointsByRunner.get(runner);
    }

    RunnerEndpoint endpointNamed(String name) {
        return endpointsByName.get(name);
    }

    /** Applies a message of the discovery service; returns its entries without those that lack a usable address. */
    List<RunnerListEntry> update(Duration now, HostListUpdate list) {
        List<RunnerListEntry> entries = new ArrayList<>();
        Set<RunnerEndpoint> seen = new HashSet<>();
        for (HostListUpdate.Host host : list.hosts) {
            RunnerEndpoint endpoint = endpointsByName.get(host.name());
            boolean removed = host.health() == HostListUpdate.Health.REMOVED;
            InetSocketAddress address = Address.parse(host.address());
            if (endpoint == null && (removed || address == null)) {
                continue;
            }
            if (endpoint == null) {
                endpoint = new RunnerEndpoint(host.name(), host.address(), poolFactory.apply(address));
                endpointsByName.put(endpoint.name, endpoint);
                endpointsByRunner.put(endpoint.runner, endpoint);
            } else if (address != null && !host.address().equals(endpoint.address)) {
                endpoint.moveTo(host.address(), poolFactory.apply(address));
            }
            endpoint.goneAt = removed ? now : null;
            seen.add(endpoint);
            Runner.Mode mode = switch (host.health()) {
                case UP -> Runner.Mode.READY;
                case DRAINING -> Runner.Mode.DRAINING;
                case REMOVED -> Runner.Mode.GONE;
            };
            Duration startedAt =
                    host.startedUnixMillis() == 0 ? null : Duration.ofMillis(host.startedUnixMillis() - startMillis);
            entries.add(new RunnerListEntry(
                    endpoint.runner, host.kind(), host.site(), host.share(), mode, host.block(), startedAt));
        }
        for (RunnerEndpoint endpoint : endpointsByName.values()) {
            if (list.complete && !seen.contains(endpoint) && endpoint.goneAt == null) {
                endpoint.goneAt = now;
            }
        }
        removeExpired(now);
        return entries;
    }

    private void removeExpired(Duration now) {
        endpointsByName.values().removeIf(endpoint -> {
            boolean expired = endpoint.goneAt != null
                    && endpoint.runner.mode == Runner.Mode.GONE
                    && endpoint.runner.inFlight.isEmpty()
                    && now.compareTo(endpoint.goneAt.plus(retention)) > 0;
            if (expired) {
                endpoint.pool.closeIdle();
                endpointsByRunner.remove(endpoint.runner);
            }
            return expired;
        });
    }
}
