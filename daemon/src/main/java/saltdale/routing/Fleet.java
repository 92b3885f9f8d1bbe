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

/** The runners by their names in the list, and the pools to them. */
final class Fleet {
    private final Map<String, Target> targets = new HashMap<>();
    private final Map<Runner, Target> byRunner = new HashMap<>();
    private final Function<InetSocketAddress, ConnectionPool> pools;
    /** Unix time at the start of the clock that everything else runs on. */
    private final long startMillis;
    /** How long a runner is remembered that no list holds and the dispatcher does not count on. */
    private final Duration memory;

    Fleet(Function<InetSocketAddress, ConnectionPool> pools, long startMillis, Duration memory) {
        this.pools = pools;
        this.startMillis = startMillis;
        this.memory = memory;
    }

    Target of(Runner runner) {
        return byRunner.get(runner);
    }

    Target named(String host) {
        return targets.get(host);
    }

    /** Takes over what discovery says; entries without a usable address are passed over. */
    List<RunnerListEntry> sightings(Duration now, HostListUpdate list) {
        List<RunnerListEntry> sightings = new ArrayList<>();
        Set<Target> seen = new HashSet<>();
        for (HostListUpdate.Host each : list.hosts) {
            Target target = targets.get(each.name());
            boolean removed = each.health() == HostListUpdate.Health.REMOVED;
            InetSocketAddress address = Address.parse(each.address());
            if (target == null && (removed || address == null)) {
                continue;
            }
            if (target == null) {
                target = new Target(each.name(), each.address(), pools.apply(address));
                targets.put(target.host, target);
                byRunner.put(target.runner, target);
            } else if (address != null && !each.address().equals(target.dial)) {
                target.moveTo(each.address(), pools.apply(address));
            }
            target.goneAt = removed ? now : null;
            seen.add(target);
            Runner.Mode mode = switch (each.health()) {
                case UP -> Runner.Mode.READY;
                case DRAINING -> Runner.Mode.DRAINING;
                case REMOVED -> Runner.Mode.GONE;
            };
            Duration startedAt =
                    each.startedUnixMillis() == 0 ? null : Duration.ofMillis(each.startedUnixMillis() - startMillis);
            sightings.add(new RunnerListEntry(
                    target.runner, each.kind(), each.site(), each.share(), mode, each.block(), startedAt));
        }
        for (Target target : targets.values()) {
            if (list.complete && !seen.contains(target) && target.goneAt == null) {
                target.goneAt = now;
            }
        }
        forget(now);
        return sightings;
    }

    private void forget(Duration now) {
        targets.values().removeIf(target -> {
            boolean over = target.goneAt != null
                    && target.runner.mode == Runner.Mode.GONE
                    && target.runner.inFlight.isEmpty()
                    && now.compareTo(target.goneAt.plus(memory)) > 0;
            if (over) {
                target.pool.closeIdle();
                byRunner.remove(target.runner);
            }
            return over;
        });
    }
}
