package saltdale.control;

import java.util.HashMap;
import java.util.Map;

/** Counts of the planned starts whose instances are not known yet, by service, zone and worker. */
final class PendingStarts {
    /** A service in a zone or on a worker. */
    private record ServiceLocation(String service, String location) {}

    private final Map<String, Integer> byService = new HashMap<>();
    private final Map<ServiceLocation, Integer> byZone = new HashMap<>();
    private final Map<ServiceLocation, Integer> byWorker = new HashMap<>();

    void add(String service, String zone, String worker) {
        byService.merge(service, 1, Integer::sum);
        byZone.merge(new ServiceLocation(service, zone), 1, Integer::sum);
        byWorker.merge(new ServiceLocation(service, worker), 1, Integer::sum);
    }

    int of(String service) {
        return byService.getOrDefault(service, 0);
    }

    int inZone(String service, String zone) {
        return byZone.getOrDefault(new ServiceLocation(service, zone), 0);
    }

    int onWorker(String service, String worker) {
        return byWorker.getOrDefault(new ServiceLocation(service, worker), 0);
    }
}
