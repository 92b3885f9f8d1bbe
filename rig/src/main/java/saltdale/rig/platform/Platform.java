package saltdale.rig.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import saltdale.rig.platform.Instance.State;

/** The platform's rules: workers and their memory, starts and stops of runners, and the lists of both. */
public final class Platform {
    /** Who holds the runners' sockets. */
    public interface Sockets {
        void listen(Instance instance);

        /** It takes no connection more; requests that it works on go on. */
        void cease(Instance instance);

        /** It is gone at once, with all that it works on. */
        void crash(Instance instance);
    }

    /** An answer of the platform. */
    public record Reply(int status, ObjectNode body) {
        static Reply of(int status) {
            return new Reply(status, JsonNodeFactory.instance.objectNode());
        }
    }

    private static final int PAGE = 50;
    private static final int LONGEST_NONCE = 64;
    private static final Duration AFTER_DRAIN = Duration.ofMillis(500); // "and a little longer"
    private static final Duration CRASH_NOTICED = Duration.ofSeconds(3);

    private static final class Host {
        final Site.Worker worker;
        boolean draining;
        boolean down;
        int free;

        Host(Site.Worker worker) {
            this.worker = worker;
            free = worker.memoryMb();
        }

        ObjectNode json() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("name", worker.name())
                    .put("zone", worker.zone())
                    .put("memory_mb", worker.memoryMb())
                    .put("free_memory_mb", free)
                    .put("state", draining ? "draining" : "ready");
        }
    }

    private record Freed(String address, Duration at) {}

    private final Site site;
    private final Clock clock;
    private final Sockets sockets;
    private final SplittableRandom chance;
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Instance> lives = new LinkedHashMap<>();
    private final Map<String, Instance> nonces = new HashMap<>();
    private final Map<String, Deque<Freed>> freed = new HashMap<>();
    private final Map<String, Integer> places = new HashMap<>();
    private final Lagged<Long, ObjectNode> runners;
    private final Lagged<String, ObjectNode> workers;
    private final Rate reads;
    private final Rate duties;
    private long highestFence = Long.MIN_VALUE;
    private long sequence;
    private long calls;
    private long refused;
    private long stops;
    private double memoryMbSeconds;
    private final Map<Instance, Duration> paidFrom = new HashMap<>();

    public Platform(Site site, Clock clock, Sockets sockets, long seed) {
        this.site = site;
        this.clock = clock;
        this.sockets = sockets;
        chance = new SplittableRandom(seed);
        site.services().forEach(service -> services.put(service.name(), service));
        runners = new Lagged<>(site.lag());
        workers = new Lagged<>(site.lag());
        reads = new Rate(site.ratePerS());
        duties = new Rate(site.dutyPerS());
        site.workers().forEach(worker -> {
            hosts.put(worker.name(), new Host(worker));
            // Long there when the day begins.
            workers.set(
                    clock.now().minus(site.lag()),
                    worker.name(),
                    hosts.get(worker.name()).json());
            freed.putIfAbsent(worker.zone(), new ArrayDeque<>());
        });
    }

    /** {@code GET /runners}; zone and page may be null. */
    public Reply runners(String zone, String page) {
        calls++;
        if (!reads.take(clock.now())) {
            return refuse();
        }
        Reply reply = Reply.of(200);
        ArrayNode list = reply.body.putArray("instances");
        long after;
        try {
            after = page == null ? -1 : Long.parseLong(page.replaceFirst("^p-", ""));
        } catch (NumberFormatException e) {
            return Reply.of(400);
        }
        String next = null;
        long last = after;
        for (Map.Entry<Long, ObjectNode> each :
                runners.at(clock.now()).tailMap(after + 1).entrySet()) {
            if (zone != null && !zone.equals(each.getValue().path("zone").asText())) {
                continue;
            } else if (list.size() == PAGE) {
                next = "p-" + last;
                break;
            }
            list.add(each.getValue());
            last = each.getKey();
        }
        reply.body.put("next_page_token", next);
        return reply;
    }

    /** {@code GET /workers}. */
    public Reply workers() {
        calls++;
        if (!reads.take(clock.now())) {
            return refuse();
        }
        Reply reply = Reply.of(200);
        ArrayNode list = reply.body.putArray("worker_machines");
        workers.at(clock.now()).values().forEach(list::add);
        return reply;
    }

    /** {@code POST /begin}; {@code fence} may be null. */
    public Reply begin(Long fence, String serviceName, String worker, String nonce) {
        calls++;
        Reply no = duty(fence);
        if (no != null) {
            return no;
        }
        Service service = services.get(serviceName);
        // Nonces are of any text; the bound on their bytes is held for those of ASCII, as all that is sent here is.
        if (service == null || worker == null || nonce == null || nonce.isEmpty() || nonce.length() > LONGEST_NONCE) {
            return Reply.of(400);
        }
        String key = serviceName + " " + nonce;
        Instance before = nonces.get(key);
        if (before != null) {
            return begun(before);
        }
        Host host = hosts.get(worker);
        if (host == null || host.down || host.draining || host.free < service.memoryMb()) {
            return Reply.of(409);
        }
        String address = place(host.worker.zone());
        if (address == null) {
            return Reply.of(409);
        }
        String identifier = String.format("i-%08x", (int) chance.nextLong());
        Instance instance =
                new Instance(this, sequence++, identifier, service, address, host.worker, chance.nextDouble(0.8, 1.25));
        host.free -= service.memoryMb();
        paidFrom.put(instance, clock.now());
        lives.put(identifier, instance);
        nonces.put(key, instance);
        show(host);
        clock.after(Duration.ofNanos((long) (service.boot().toNanos() * chance.nextDouble(0.7, 1.3))), () -> {
            if (instance.state() == State.BOOTING) {
                instance.state(State.READY);
                sockets.listen(instance);
                show(instance);
                if (host.draining) {
                    drain(instance);
                }
            }
        });
        return begun(instance);
    }

    /** {@code POST /stop}; {@code fence} may be null. */
    public Reply stop(Long fence, String identifier) {
        calls++;
        Reply no = duty(fence);
        if (no != null) {
            return no;
        }
        Instance instance = lives.get(identifier);
        if (instance == null) {
            return Reply.of(404);
        }
        stops++;
        cease(instance);
        return Reply.of(200);
    }

    /** What forbids a start or stop; null for nothing. */
    private Reply duty(Long fence) {
        if (!duties.take(clock.now())) {
            return refuse();
        }
        // The pages name the header X-Saltdale-Fence-Number and say nothing of what the platform does with it: that
        // a number lower than one seen before is refused, with 409, is our reading. A call without it is taken.
        if (fence != null) {
            if (fence < highestFence) {
                return Reply.of(409);
            }
            highestFence = fence;
        }
        return null;
    }

    private Reply refuse() {
        refused++;
        return Reply.of(429);
    }

    private static Reply begun(Instance instance) {
        Reply reply = Reply.of(200);
        reply.body.put("identifier", instance.identifier).put("address", instance.address);
        return reply;
    }

    /** An address: the one that has been free for longest, once it may be used again; null where there is none. */
    private String place(String zone) {
        Freed first = freed.get(zone).peek();
        if (first != null && clock.now().minus(first.at).compareTo(site.bounds().addressReuse()) >= 0) {
            return freed.get(zone).poll().address;
        }
        int place = places.merge(zone, 1, Integer::sum);
        return place > 254 ? null : site.runner(zone, place);
    }

    // Lives.

    private void drain(Instance instance) {
        if (instance.state() == State.READY) {
            instance.state(State.DRAINING);
            show(instance);
            clock.after(site.bounds().drain().plus(AFTER_DRAIN), () -> cease(instance));
        }
    }

    private void cease(Instance instance) {
        State was = instance.state();
        if (was == State.CEASED || was == State.ENDED) {
            return;
        }
        instance.state(State.CEASED);
        if (was != State.BOOTING) {
            runners.set(clock.now(), instance.sequence, null);
            sockets.cease(instance);
        }
        idle(instance);
    }

    /** It may have done its last request. */
    void idle(Instance instance) {
        if (instance.state() == State.CEASED && instance.atWork() == 0) {
            end(instance);
        }
    }

    private void end(Instance instance) {
        instance.state(State.ENDED);
        memoryMbSeconds += paid(instance);
        paidFrom.remove(instance);
        Host host = hosts.get(instance.worker.name());
        host.free += instance.service.memoryMb();
        show(host);
        freed.get(instance.worker.zone()).add(new Freed(instance.address, clock.now()));
    }

    private double paid(Instance instance) {
        return clock.now().minus(paidFrom.get(instance)).toMillis() / 1e3 * instance.service.memoryMb();
    }

    /** A worker is emptied: its runners leave in order, and it takes none until {@link #restore}. */
    public void drain(String worker) {
        Host host = hosts.get(worker);
        host.draining = true;
        show(host);
        of(worker).forEach(this::drain);
    }

    /** A worker crashes with all its runners, and comes back empty. */
    public void crash(String worker, Duration downFor) {
        Host host = hosts.get(worker);
        host.down = true;
        show(host);
        for (Instance instance : of(worker)) {
            if (instance.state() != State.BOOTING && instance.state() != State.CEASED) {
                // Guards against a list that tells of a crash at once: it stays there for some seconds.
                clock.after(CRASH_NOTICED, () -> runners.set(clock.now(), instance.sequence, null));
            }
            instance.state(State.ENDED);
            sockets.crash(instance);
            end(instance);
        }
        clock.after(downFor, () -> restore(worker));
    }

    public void restore(String worker) {
        Host host = hosts.get(worker);
        host.down = false;
        host.draining = false;
        show(host);
    }

    private List<Instance> of(String worker) {
        return lives.values().stream()
                .filter(each -> each.worker.name().equals(worker) && each.state() != State.ENDED)
                .toList();
    }

    private void show(Host host) {
        workers.set(clock.now(), host.worker.name(), host.down ? null : host.json());
    }

    private void show(Instance instance) {
        runners.set(
                clock.now(),
                instance.sequence,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("service", instance.service.name())
                        .put("address", instance.address)
                        .put("zone", instance.worker.zone())
                        .put("revision", "v1")
                        .put("concurrency_slots", instance.service.maxConcurrency())
                        .put("state", instance.isLeaving() ? "draining" : "ready")
                        .put("cold_remaining_ms", 0)
                        .put("identifier", instance.identifier)
                        .put("worker_machine", instance.worker.name()));
    }

    // What was seen.

    public List<Instance> alive() {
        return new ArrayList<>(lives.values().stream()
                .filter(each -> each.state() != State.ENDED)
                .toList());
    }

    /** Calls, refusals, starts, stops and memory, in one line. */
    public String figures() {
        double memory = memoryMbSeconds
                + paidFrom.keySet().stream().mapToDouble(this::paid).sum();
        return String.format(
                "platform calls %d (429: %d), starts %d, stops %d, memory %.1f GB s",
                calls, refused, sequence, stops, memory / 1024);
    }
}
