package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltdale.control.message.InstanceMessage.StartIntent;

/** The workers as the platform tells of them, and the memory that is free on each. */
final class WorkerTable {
    /** After a refused start, so many starts must be taken before the platform's word on free memory counts no more. */
    private static final int DOUBT = 10;

    private final Environment environment;
    private final Platform platform;
    private final long heartbeat;
    private final Map<String, Double> toldFreeMb = new HashMap<>(); // by worker
    private List<Worker> workers = List.of();
    private long askedAt;
    private boolean refreshSoon;
    private int doubt;

    WorkerTable(Environment environment, Platform platform, long heartbeat) {
        this.environment = environment;
        this.platform = platform;
        this.heartbeat = heartbeat;
        expire();
    }

    List<Worker> all() {
        return workers;
    }

    /** What is known counts as old. */
    void expire() {
        askedAt = Long.MIN_VALUE / 2;
    }

    /** Asks the platform anew if what it told is old. */
    void refresh(long now, boolean hasConfiguration) {
        long lasts = refreshSoon ? heartbeat / 2 : hasConfiguration ? heartbeat : 2 * heartbeat;
        if (now - askedAt > lasts) {
            askedAt = now;
            refreshSoon = false;
            platform.listWorkers(this::told);
        }
    }

    private void told(Platform.Response answer) {
        if (answer == null || answer.status() != 200 || answer.body() == null) {
            return;
        }
        try {
            List<Worker> all = new ArrayList<>();
            for (Fields each : new Fields(answer.body()).objects("worker_machines")) {
                all.add(new Worker(
                        each.text("name"),
                        each.text("zone"),
                        each.text("state").equals("ready"),
                        each.number("memory_mb"),
                        each.number("free_memory_mb")));
            }
            workers = all;
            toldFreeMb.clear();
            all.forEach(worker -> toldFreeMb.put(worker.name, worker.freeMb));
        } catch (MalformedMessage e) {
            environment.log("the platform's workers cannot be read: " + e.getMessage());
        }
    }

    /** A worker had no room for a start after all. */
    void startRefused() {
        doubt = DOUBT;
        refreshSoon = true;
    }

    void startTaken() {
        doubt = Math.max(0, doubt - 1);
    }

    /** Works out what is free on each: what our own starts leave, and in doubt no more than the platform told. */
    void reckon(
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
            worker.freeMb = doubt > 0 ? Math.min(free, toldFreeMb.getOrDefault(worker.name, 0.0)) : free;
        }
    }
}
