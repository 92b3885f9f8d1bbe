package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltdale.control.message.InstanceMessage.StartIntent;

/** The workers that the platform reports, and an estimate of the memory that is free on each. */
final class WorkerTable {
    /** Number of accepted starts after a refused one until the platform's figure of free memory is ignored again. */
    private static final int CAUTIOUS_STARTS = 10;

    private final Environment environment;
    private final Platform platform;
    private final long heartbeatNanos;
    private final Map<String, Double> reportedFreeMb = new HashMap<>(); // by worker
    private List<Worker> workers = List.of();
    private long requestedAt;
    private boolean refreshSoon;
    private int cautiousStartsLeft;

    WorkerTable(Environment environment, Platform platform, long heartbeatNanos) {
        this.environment = environment;
        this.platform = platform;
        this.heartbeatNanos = heartbeatNanos;
        expire();
    }

    List<Worker> all() {
        return workers;
    }

    /** Marks the known workers as outdated, so that the next refresh requests them again. */
    void expire() {
        requestedAt = Long.MIN_VALUE / 2;
    }

    /** Requests the workers from the platform if the last request is too long ago. */
    void refresh(long now, boolean hasConfiguration) {
        long maxAge = refreshSoon ? heartbeatNanos / 2 : hasConfiguration ? heartbeatNanos : 2 * heartbeatNanos;
        if (now - requestedAt > maxAge) {
            requestedAt = now;
            refreshSoon = false;
            platform.listWorkers(this::apply);
        }
    }

    private void apply(Platform.Response response) {
        if (response == null || response.status() != 200 || response.body() == null) {
            return;
        }
        try {
            List<Worker> all = new ArrayList<>();
            for (Fields each : new Fields(response.body()).objects("worker_machines")) {
                all.add(new Worker(
                        each.text("name"),
                        each.text("zone"),
                        each.text("state").equals("ready"),
                        each.number("memory_mb"),
                        each.number("free_memory_mb")));
            }
            workers = all;
            reportedFreeMb.clear();
            all.forEach(worker -> reportedFreeMb.put(worker.name, worker.freeMb));
        } catch (MalformedMessage e) {
            environment.log("malformed worker list from the platform: " + e.getMessage());
        }
    }

    /** A worker that seemed to have room for a start did not have it. */
    void startRefused() {
        cautiousStartsLeft = CAUTIOUS_STARTS;
        refreshSoon = true;
    }

    void startAccepted() {
        cautiousStartsLeft = Math.max(0, cautiousStartsLeft - 1);
    }

    /**
     * Updates the free memory of each worker from the known instances and the pending starts; after a refused start
     * the value that the platform reported is an upper bound.
     */
    void updateFreeMemory(
            Collection<Instance> instances,
            Collection<StartIntent> starts,
            Map<String, Configuration.Service> services) {
        Map<String, Double> usedMb = new HashMap<>();
        for (Instance instance : instances) {
            Configuration.Service service = services.get(instance.service());
            if (instance.phase() != Instance.Phase.GONE && service != null) {
                usedMb.merge(instance.worker(), (double) service.memoryMb(), Double::sum);
            }
        }
        starts.forEach(start -> usedMb.merge(start.worker(), (double) start.memoryMb(), Double::sum));
        for (Worker worker : workers) {
            double free = worker.memoryMb - usedMb.getOrDefault(worker.name, 0.0);
            worker.freeMb =
                    cautiousStartsLeft > 0 ? Math.min(free, reportedFreeMb.getOrDefault(worker.name, 0.0)) : free;
        }
    }
}
