package saltdale.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the workers for new instances of one service: the worker with the fewest instances of the service, and among
 * those the one with the most free memory. The loss of a worker thus takes few instances of one service.
 */
final class WorkerPlacement {
    private final Configuration.Service service;
    private final List<Worker> workers;
    private final Map<String, Integer> instancesOn = new HashMap<>(); // by worker

    /** Creates a placement; {@code live} are the service's instances that are not leaving. */
    WorkerPlacement(
            Configuration.Service service,
            Collection<Instance> live,
            List<Worker> workers,
            PendingStarts pendingStarts) {
        this.service = service;
        this.workers = workers;
        live.forEach(instance -> instancesOn.merge(instance.worker(), 1, Integer::sum));
        workers.forEach(worker ->
                instancesOn.merge(worker.name, pendingStarts.onWorker(service.name(), worker.name), Integer::sum));
    }

    /** Returns a worker with room for one more instance, preferably in this zone, or null if no worker has room. */
    Worker choose(String zone) {
        return workers.stream()
                .filter(worker -> worker.hasRoomFor(service))
                .min(Comparator.comparing((Worker worker) -> !worker.zone.equals(zone))
                        .thenComparing(worker -> instancesOn.getOrDefault(worker.name, 0))
                        .thenComparing(worker -> -worker.freeMb))
                .orElse(null);
    }

    /** Counts one more instance on this worker. */
    void reserve(Worker worker) {
        worker.freeMb -= service.memoryMb();
        instancesOn.merge(worker.name, 1, Integer::sum);
    }
}
