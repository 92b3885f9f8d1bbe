package saltdale.control;

import java.util.HashMap;
import java.util.Map;

/** Counts of the starts that were decided on and are not yet known as instances, by service, zone and worker. */
final class PendingStarts {
    private record ServiceAt(String service, String place) {}

    private final Map<String, Integer> byService = new HashMap<>();
    private final Map<ServiceAt, Integer> byZone = new HashMap<>();
    private final Map<ServiceAt, Integer> byWorker = new HashMap<>();

    void add(String service, String zone, String worker) {
        byService.merge(service, 1, Integer::sum);
        byZone.merge(new ServiceAt(service, zone), 1, Integer::sum);
        byWorker.merge(new ServiceAt(service, worker), 1, Integer::sum);
    }

    int of(String service) {
        return byService.getOrDefault(service, 0);
    }

    int inZone(String service, String zone) {
        return byZone.getOrDefault(new ServiceAt(service, zone), 0);
    }

    int onWorker(String service, String worker) {
        return byWorker.getOrDefault(new ServiceAt(service, worker), 0);
    }
}
