package saltdale.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltdale.control.message.InstanceMessage.InstanceUpdates;

/** Reads the platform's paged list of instances within this control node's share of the platform's rate limit. */
final class InstanceListReader {
    /** Share of the platform's rate limit that all control nodes together use on average to read whole lists. */
    private static final double AVERAGE_RATE_SHARE = 0.5;
    /** Share of the platform's rate limit that all control nodes together may use at any moment. */
    private static final double PEAK_RATE_SHARE = 0.6;
    /** Heartbeat intervals after which a page without a response is given up. */
    private static final int PAGE_TIMEOUT_HEARTBEATS = 3;

    private final Environment environment;
    private final ControlNode controlNode;
    private final Platform platform;
    private final ControlNodeSettings nodeSettings;
    private final Runnable onChange;
    private final Set<String> draining = new HashSet<>();
    private int pageCount = 1;
    private boolean reading;
    private long lastPageRequestAt = Long.MIN_VALUE / 2;

    /** Creates a reader that runs {@code onChange} whenever a list contains something new. */
    InstanceListReader(
            Environment environment,
            ControlNode controlNode,
            Platform platform,
            ControlNodeSettings nodeSettings,
            Runnable onChange) {
        this.environment = environment;
        this.controlNode = controlNode;
        this.platform = platform;
        this.nodeSettings = nodeSettings;
        this.onChange = onChange;
    }

    /** Whether the platform itself is draining this instance. */
    boolean isDraining(String id) {
        return draining.contains(id);
    }

    /** Drops the identifiers of instances that are not known any more. */
    void forgetUnknown() {
        draining.removeIf(id -> controlNode.instances().get(id) == null);
    }

    /** Reads the list now, or as soon as the rate limit allows, and then periodically. */
    void read() {
        long now = environment.now();
        if (!reading && now - lastPageRequestAt < pageIntervalNanos()) {
            // The first page of a list counts towards the rate too.
            environment.schedule(lastPageRequestAt + pageIntervalNanos() - now, this::read);
            return;
        }
        double minIntervalSeconds = controlNode.voterCount()
                * (pageCount + 1)
                / (AVERAGE_RATE_SHARE * nodeSettings.rates().listCallsPerSecond());
        environment.schedule(
                Math.max(nodeSettings.heartbeatNanos() / 2, (long) (minIntervalSeconds * 1e9)),
                this::read); // even if this call fails
        // Lists of many pages must not overlap, but a page whose response never came must not block the next list.
        if (!reading || now - lastPageRequestAt > PAGE_TIMEOUT_HEARTBEATS * nodeSettings.heartbeatNanos()) {
            reading = true;
            requestPage(null, new ArrayList<>(), 1, now);
        }
    }

    private long pageIntervalNanos() {
        return (long) (controlNode.voterCount()
                / (PEAK_RATE_SHARE * nodeSettings.rates().listCallsPerSecond())
                * 1e9);
    }

    private void requestPage(String token, List<Instance> instances, int page, long requestedAt) {
        lastPageRequestAt = environment.now();
        platform.listInstances(token, response -> {
            reading = false;
            if (response == null || response.status() != 200 || response.body() == null) {
                return;
            }
            try {
                Fields body = new Fields(response.body());
                for (Fields each : body.objects("instances")) {
                    instances.add(instance(each));
                }
                // The platform does not say how many instances a page holds, so the pages are counted as they come.
                pageCount = Math.max(pageCount, page);
                if (body.has("next_page_token")) {
                    String next = body.text("next_page_token");
                    reading = true;
                    // Spaces the pages so that bursts of all control nodes together stay within the rate limit.
                    environment.schedule(
                            pageIntervalNanos(), () -> requestPage(next, instances, page + 1, requestedAt));
                    return;
                }
            } catch (MalformedMessage e) {
                environment.log("malformed instance list from the platform: " + e.getMessage());
                return;
            }
            pageCount = page;
            apply(instances, requestedAt);
        });
    }

    private Instance instance(Fields from) throws MalformedMessage {
        String id = from.text("identifier");
        boolean ready = from.text("state").equals("ready");
        if (!ready) {
            draining.add(id);
        }
        return new Instance(
                id,
                from.text("service"),
                from.text("address"),
                from.text("zone"),
                from.text("worker_machine", ""),
                ready ? Instance.Phase.READY : Instance.Phase.LEAVING,
                (int) Math.max(1, from.integer("concurrency_slots", 1)));
    }

    private void apply(List<Instance> list, long requestedAt) {
        List<Instance> changed =
                controlNode.instances().applyPlatformList(list, requestedAt, environment.now(), this::bootNanos);
        if (!changed.isEmpty()) {
            sendUnavailable(changed);
            controlNode.publish();
            onChange.run();
        }
    }

    /** The usual boot time of a service's instances; 0 if the configuration does not tell it. */
    private long bootNanos(String service) {
        Configuration configuration = controlNode.configuration();
        Configuration.Service known =
                configuration == null ? null : configuration.services().get(service);
        return known == null ? 0 : Environment.millisToNanos(known.bootMs());
    }

    /**
     * Sends the instances that must not get new requests to the other control nodes, since these may be unable to reach
     * the platform themselves.
     */
    private void sendUnavailable(List<Instance> changed) {
        List<Instance> unavailable = changed.stream()
                .filter(instance -> instance.phase().compareTo(Instance.Phase.LEAVING) >= 0)
                .toList();
        if (!unavailable.isEmpty()) {
            controlNode.sendToControlNodes(new InstanceUpdates(unavailable));
        }
    }
}
