package saltdale.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the workers for new instances of one service: where the fewest of its instances are, then where the most
 * memory is free, so that a lost worker takes few instances of one service.
 */
final class WorkerPlacement {
    private final Configuration.Service service;
    private final List<Worker> workers;
    private final Map<String, Integer> instancesOn = new HashMap<>(); // by worker

    /** {@code live}: the service's instances that are not leaving. */
    WorkerPlacement(
            Configuration.Service service, Collection<Instance> live, List<Worker> workers, PendingStarts underWay) {
        this.service = service;
        this.workers = workers;
        live.forEach(instance -> instancesOn.merge(instance.worker(), 1, Integer::sum));
        workers.forEach(
                worker -> instancesOn.merge(worker.name, underWay.onWorker(service.name(), worker.name), Integer::sum));
    }

    /** A worker with room for one more instance, of this zone if one of it has room; null where none has. */
    Worker choose(String zone) {
        return workers.stream()
                .filter(worker -> worker.hasRoomFor(service))
                .min(Comparator.comparing((Worker worker) -> !worker.zone.equals(zone))
                        .thenComparing(worker -> instancesOn.getOrDefault(worker.name, 0))
                        .thenComparing(worker -> -worker.freeMb))
                .orElse(null);
    }

    /** An instance goes to this worker. */
    void take(Worker worker) {
        worker.freeMb -= service.memoryMb();
        instancesOn.merge(worker.name, 1, Integer::sum);
    }
}
