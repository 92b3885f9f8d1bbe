package saltdale.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltdale.control.message.InstanceMessage.InstanceUpdates;

/** Reads the platform's list of instances, page by page, within a control node's part of the platform's rate. */
final class InstanceListReader {
    /** Of the platform's rate: what all control nodes together use for whole lists. */
    private static final double SHARE_OF_RATE = 0.5;
    /** Of the platform's rate: what all control nodes together may use at any moment. */
    private static final double MOST_OF_RATE = 0.6;
    /** Heartbeats after which a page that never came is given up. */
    private static final int PAGE_LOST = 3;

    private final Environment environment;
    private final ControlNode controlNode;
    private final Platform platform;
    private final ControlNodeSettings nodeSettings;
    private final Runnable changed;
    private final Set<String> drained = new HashSet<>();
    private int pages = 1;
    private boolean reading;
    private long pageAt = Long.MIN_VALUE / 2; // when the last page was asked for

    /** {@code changed} is run whenever a list showed something new. */
    InstanceListReader(
            Environment environment,
            ControlNode controlNode,
            Platform platform,
            ControlNodeSettings nodeSettings,
            Runnable changed) {
        this.environment = environment;
        this.controlNode = controlNode;
        this.platform = platform;
        this.nodeSettings = nodeSettings;
        this.changed = changed;
    }

    /** Whether the platform itself takes this instance away. */
    boolean isDrained(String id) {
        return drained.contains(id);
    }

    void forgetUnknown() {
        drained.removeIf(id -> controlNode.instances().get(id) == null);
    }

    /** Reads the list now or as soon as the rate allows, and again from then on. */
    void read() {
        long now = environment.now();
        if (!reading && now - pageAt < pageGap()) {
            environment.schedule(pageAt + pageGap() - now, this::read); // a first page is a page too
            return;
        }
        // Guards against lists of many pages that overlap; one of which no answer ever came does not hold up the next.
        if (!reading || now - pageAt > PAGE_LOST * nodeSettings.heartbeatNanos()) {
            reading = true;
            page(null, new ArrayList<>(), 1, now);
        }
        double atLeast = controlNode.voterCount()
                * (pages + 1)
                / (SHARE_OF_RATE * nodeSettings.rates().listCallsPerSecond());
        environment.schedule(Math.max(nodeSettings.heartbeatNanos() / 2, (long) (atLeast * 1e9)), this::read);
    }

    private long pageGap() {
        return (long)
                (controlNode.voterCount() / (MOST_OF_RATE * nodeSettings.rates().listCallsPerSecond()) * 1e9);
    }

    private void page(String token, List<Instance> soFar, int page, long askedAt) {
        pageAt = environment.now();
        platform.listInstances(token, answer -> {
            reading = false;
            if (answer == null || answer.status() != 200 || answer.body() == null) {
                return;
            }
            try {
                Fields body = new Fields(answer.body());
                for (Fields each : body.objects("instances")) {
                    soFar.add(instance(each));
                }
                // The pages as they come: how many instances one holds the platform does not say.
                pages = Math.max(pages, page);
                if (body.has("next_page_token")) {
                    String next = body.text("next_page_token");
                    reading = true;
                    // Guards against bursts: pages follow one another no faster than all may ask together.
                    environment.schedule(pageGap(), () -> page(next, soFar, page + 1, askedAt));
                    return;
                }
            } catch (MalformedMessage e) {
                environment.log("the platform's list cannot be read: " + e.getMessage());
                return;
            }
            pages = page;
            listed(soFar, askedAt);
        });
    }

    private Instance instance(Fields from) throws MalformedMessage {
        String id = from.text("identifier");
        boolean ready = from.text("state").equals("ready");
        if (!ready) {
            drained.add(id);
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

    private void listed(List<Instance> list, long askedAt) {
        List<Instance> news = controlNode.instances().applyPlatformList(list, askedAt, environment.now());
        if (!news.isEmpty()) {
            tellOfEnds(news);
            controlNode.publish();
            changed.run();
        }
    }

    /**
     * Whoever sees first that an instance is to get nothing more tells the other control nodes, which may not reach the
     * platform themselves.
     */
    private void tellOfEnds(List<Instance> news) {
        List<Instance> ends = news.stream()
                .filter(instance -> instance.phase().compareTo(Instance.Phase.LEAVING) >= 0)
                .toList();
        if (!ends.isEmpty()) {
            controlNode.sendToControlNodes(new InstanceUpdates(ends));
        }
    }
}
