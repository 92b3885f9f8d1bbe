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

/** A model of the platform: workers and their memory, starts and stops of runners, and the lists of both. */
public final class Platform {
    /** Opens and closes the sockets of the runners. */
    public interface Sockets {
        void listen(Instance instance);

        /** The runner accepts no further connections; the requests it is executing continue. */
        void stopAccepting(Instance instance);

        /** The runner is gone at once, with all requests that it is executing. */
        void crash(Instance instance);
    }

    /** A response of the platform's API. */
    public record Reply(int status, ObjectNode body) {
        static Reply of(int status) {
            return new Reply(status, JsonNodeFactory.instance.objectNode());
        }
    }

    private static final int PAGE_SIZE = 50;
    private static final int MAX_NONCE_LENGTH = 64;
    private static final Duration DRAIN_MARGIN = Duration.ofMillis(500); // the specification says "and a little longer"
    private static final Duration CRASH_DETECTION_DELAY = Duration.ofSeconds(3);

    private static final class WorkerState {
        final Deployment.Worker worker;
        boolean draining;
        boolean down;
        int freeMemoryMb;

        WorkerState(Deployment.Worker worker) {
            this.worker = worker;
            freeMemoryMb = worker.memoryMb();
        }

        ObjectNode json() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("name", worker.name())
                    .put("zone", worker.zone())
                    .put("memory_mb", worker.memoryMb())
                    .put("free_memory_mb", freeMemoryMb)
                    .put("state", draining ? "draining" : "ready");
        }
    }

    private record FreedAddress(String address, Duration at) {}

    private final Deployment deployment;
    private final Clock clock;
    private final Sockets sockets;
    private final SplittableRandom random;
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, WorkerState> workerStates = new LinkedHashMap<>();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Instance> instancesByNonce = new HashMap<>();
    private final Map<String, Deque<FreedAddress>> freedAddresses = new HashMap<>();
    private final Map<String, Integer> lastAddressNumber = new HashMap<>();
    private final DelayedMap<Long, ObjectNode> runners;
    private final DelayedMap<String, ObjectNode> workers;
    private final RateLimiter readLimiter;
    private final RateLimiter dutyLimiter;
    private long highestFenceNumber = Long.MIN_VALUE;
    private long sequence;
    private long callCount;
    private long overRateCount;
    private long stopCount;
    private double memoryMbSeconds;
    private final Map<Instance, Duration> memoryHeldSince = new HashMap<>(); // of runners that have not ended

    public Platform(Deployment deployment, Clock clock, Sockets sockets, long seed) {
        this.deployment = deployment;
        this.clock = clock;
        this.sockets = sockets;
        random = new SplittableRandom(seed);
        deployment.services().forEach(service -> services.put(service.name(), service));
        runners = new DelayedMap<>(deployment.listLag());
        workers = new DelayedMap<>(deployment.listLag());
        readLimiter = new RateLimiter(deployment.ratePerS());
        dutyLimiter = new RateLimiter(deployment.dutyPerS());
        deployment.workers().forEach(worker -> {
            workerStates.put(worker.name(), new WorkerState(worker));
            // The workers have been listed since long before the run starts.
            workers.set(
                    clock.now().minus(deployment.listLag()),
                    worker.name(),
                    workerStates.get(worker.name()).json());
            freedAddresses.putIfAbsent(worker.zone(), new ArrayDeque<>());
        });
    }

    /** {@code GET /runners}; {@code zone} and {@code page} may be null. */
    public Reply runners(String zone, String page) {
        callCount++;
        if (!readLimiter.tryAcquire(clock.now())) {
            return refuseOverRate();
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
            } else if (list.size() == PAGE_SIZE) {
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
        callCount++;
        if (!readLimiter.tryAcquire(clock.now())) {
            return refuseOverRate();
        }
        Reply reply = Reply.of(200);
        ArrayNode list = reply.body.putArray("worker_machines");
        workers.at(clock.now()).values().forEach(list::add);
        return reply;
    }

    /** {@code POST /begin}; {@code fence} may be null. */
    public Reply begin(Long fence, String serviceName, String worker, String nonce) {
        callCount++;
        Reply rejection = dutyRejection(fence);
        if (rejection != null) {
            return rejection;
        }
        Service service = services.get(serviceName);
        // A nonce may be any text. Its bound is in bytes, but is applied here to characters, since the nodes
        // send only ASCII.
        if (service == null
                || worker == null
                || nonce == null
                || nonce.isEmpty()
                || nonce.length() > MAX_NONCE_LENGTH) {
            return Reply.of(400);
        }
        String key = serviceName + " " + nonce;
        Instance before = instancesByNonce.get(key);
        if (before != null) {
            return beginReply(before);
        }
        WorkerState workerState = workerStates.get(worker);
        if (workerState == null
                || workerState.down
                || workerState.draining
                || workerState.freeMemoryMb < service.memoryMb()) {
            return Reply.of(409);
        }
        String address = allocateAddress(workerState.worker.zone());
        if (address == null) {
            return Reply.of(409);
        }
        String identifier = String.format("i-%08x", (int) random.nextLong());
        Instance instance = new Instance(
                this, sequence++, identifier, service, address, workerState.worker, random.nextDouble(0.8, 1.25));
        workerState.freeMemoryMb -= service.memoryMb();
        memoryHeldSince.put(instance, clock.now());
        instances.put(identifier, instance);
        instancesByNonce.put(key, instance);
        publish(workerState);
        clock.schedule(Duration.ofNanos((long) (service.boot().toNanos() * random.nextDouble(0.7, 1.3))), () -> {
            if (instance.state() == State.BOOTING) {
                instance.state(State.READY);
                sockets.listen(instance);
                publish(instance);
                if (workerState.draining) {
                    drain(instance);
                }
            }
        });
        return beginReply(instance);
    }

    /** {@code POST /stop}; {@code fence} may be null. */
    public Reply stop(Long fence, String identifier) {
        callCount++;
        Reply rejection = dutyRejection(fence);
        if (rejection != null) {
            return rejection;
        }
        Instance instance = instances.get(identifier);
        if (instance == null) {
            return Reply.of(404);
        }
        stopCount++;
        stopAccepting(instance);
        return Reply.of(200);
    }

    /** Returns the rejection of a start or stop; null if it is allowed. */
    private Reply dutyRejection(Long fence) {
        if (!dutyLimiter.tryAcquire(clock.now())) {
            return refuseOverRate();
        }
        // The specification names the header X-Saltdale-Fence-Number but not what the platform does with it.
        // Interpretation: a number lower than one seen before is rejected with 409, and a call without the
        // header is accepted.
        if (fence != null) {
            if (fence < highestFenceNumber) {
                return Reply.of(409);
            }
            highestFenceNumber = fence;
        }
        return null;
    }

    private Reply refuseOverRate() {
        overRateCount++;
        return Reply.of(429);
    }

    private static Reply beginReply(Instance instance) {
        Reply reply = Reply.of(200);
        reply.body.put("identifier", instance.identifier).put("address", instance.address);
        return reply;
    }

    /**
     * Returns the address that has been free for longest if it may be used again, otherwise a new one; null if
     * there is none.
     */
    private String allocateAddress(String zone) {
        FreedAddress longestFree = freedAddresses.get(zone).peek();
        if (longestFree != null
                && clock.now()
                                .minus(longestFree.at)
                                .compareTo(deployment.bounds().addressReuse())
                        >= 0) {
            return freedAddresses.get(zone).poll().address;
        }
        int number = lastAddressNumber.merge(zone, 1, Integer::sum);
        return number > 254 ? null : deployment.runnerAddress(zone, number);
    }

    // Lifecycle of runners.

    private void drain(Instance instance) {
        if (instance.state() == State.READY) {
            instance.state(State.DRAINING);
            publish(instance);
            clock.schedule(deployment.bounds().drain().plus(DRAIN_MARGIN), () -> stopAccepting(instance));
        }
    }

    private void stopAccepting(Instance instance) {
        State previous = instance.state();
        if (previous == State.CEASED || previous == State.ENDED) {
            return;
        }
        instance.state(State.CEASED);
        if (previous != State.BOOTING) {
            runners.set(clock.now(), instance.sequence, null);
            sockets.stopAccepting(instance);
        }
        endIfIdle(instance);
    }

    /** Ends a runner that accepts no requests and has finished its last one. */
    void endIfIdle(Instance instance) {
        if (instance.state() == State.CEASED && instance.activeRequests() == 0) {
            end(instance);
        }
    }

    private void end(Instance instance) {
        instance.state(State.ENDED);
        memoryMbSeconds += memoryMbSecondsOf(instance);
        memoryHeldSince.remove(instance);
        WorkerState workerState = workerStates.get(instance.worker.name());
        workerState.freeMemoryMb += instance.service.memoryMb();
        publish(workerState);
        freedAddresses.get(instance.worker.zone()).add(new FreedAddress(instance.address, clock.now()));
    }

    /** The memory that a runner has held so far, in MB seconds. */
    private double memoryMbSecondsOf(Instance instance) {
        return clock.now().minus(memoryHeldSince.get(instance)).toMillis() / 1e3 * instance.service.memoryMb();
    }

    /** Drains a worker: its runners are drained and end, and it accepts no starts until {@link #restore}. */
    public void drain(String worker) {
        WorkerState workerState = workerStates.get(worker);
        workerState.draining = true;
        publish(workerState);
        instancesOn(worker).forEach(this::drain);
    }

    /** Crashes a worker with all its runners; it comes back empty after {@code downFor}. */
    public void crash(String worker, Duration downFor) {
        WorkerState workerState = workerStates.get(worker);
        workerState.down = true;
        publish(workerState);
        for (Instance instance : instancesOn(worker)) {
            if (instance.state() != State.BOOTING && instance.state() != State.CEASED) {
                // A crashed runner stays listed for some seconds, so that no node may rely on the list to notice a
                // crash at once.
                clock.schedule(CRASH_DETECTION_DELAY, () -> runners.set(clock.now(), instance.sequence, null));
            }
            instance.state(State.ENDED);
            sockets.crash(instance);
            end(instance);
        }
        clock.schedule(downFor, () -> restore(worker));
    }

    /** Returns a drained or crashed worker to service. */
    public void restore(String worker) {
        WorkerState workerState = workerStates.get(worker);
        workerState.down = false;
        workerState.draining = false;
        publish(workerState);
    }

    private List<Instance> instancesOn(String worker) {
        return instances.values().stream()
                .filter(each -> each.worker.name().equals(worker) && each.state() != State.ENDED)
                .toList();
    }

    private void publish(WorkerState workerState) {
        workers.set(clock.now(), workerState.worker.name(), workerState.down ? null : workerState.json());
    }

    private void publish(Instance instance) {
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

    // Observation.

    /** The runners that have not ended. */
    public List<Instance> liveInstances() {
        return new ArrayList<>(instances.values().stream()
                .filter(each -> each.state() != State.ENDED)
                .toList());
    }

    /** The numbers of calls, rejections, starts and stops, and the memory used, in one line. */
    public String summary() {
        double memory = memoryMbSeconds
                + memoryHeldSince.keySet().stream()
                        .mapToDouble(this::memoryMbSecondsOf)
                        .sum();
        return String.format(
                "platform calls %d (429: %d), starts %d, stops %d, memory %.1f GB s",
                callCount, overRateCount, sequence, stopCount, memory / 1024);
    }
}
