package saltdale.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.Fields;
import saltdale.control.Platform;

/**
 * Simulates the platform of a cluster with its workers, its instances and a list of them that lags behind, and the
 * calls of clients that proxies forward to the instances.
 */
final class SimPlatform {
    /** A start or stop that has reached the platform. */
    record Duty(long at, String kind, String holder, long fence, String target, int status) {}

    static final class Worker {
        final String name;
        final String zone;
        long memory;
        boolean draining;

        Worker(String name, String zone, long memory) {
            this.name = name;
            this.zone = zone;
            this.memory = memory;
        }
    }

    final class Instance {
        final String id = "i-" + ++instanceCount;
        final String address = "10.64." + instanceCount / 200 + "." + instanceCount % 200 + ":8080";
        final String service;
        final Worker worker;
        final long startedAt = world.now();
        final long readyAt;
        long drainingAt = Long.MAX_VALUE;
        long goneAt = Long.MAX_VALUE;
        int busy;
        int mostBusy;

        Instance(String service, Worker worker) {
            this.service = service;
            this.worker = worker;
            readyAt = startedAt + Environment.millisToNanos(bootMs);
        }

        boolean acceptsConnections() {
            return world.now() >= readyAt && world.now() < goneAt;
        }

        /** Starts to drain; the instance is gone a little after the drain time that the list shows. */
        void drain() {
            drainingAt = world.now();
            goneAt = world.now() + Environment.millisToNanos(listLagMs + 4500);
        }
    }

    /** A call of a client, with its attempts and its responses. */
    static final class OutgoingCall {
        final boolean idempotent;
        final List<Integer> answers = new ArrayList<>();
        final List<Attempt.Outcome> ends = new ArrayList<>();
        int runs;
        long answeredAt;
        SimMachine.Process proxyProcess;

        OutgoingCall(boolean idempotent) {
            this.idempotent = idempotent;
        }

        /** Whether the process that accepted the call has ended. */
        boolean isLost() {
            return proxyProcess == null || proxyProcess.dead;
        }

        /** Whether the client got this status and no other answer. */
        boolean is(int status) {
            return answers.equals(List.of(status));
        }
    }

    /** An attempt that a proxy sends to an instance. */
    private final class Exchange {
        final Attempt attempt;
        final SimMachine.Process from;
        final Instance to;
        boolean closed;
        boolean working;

        Exchange(Attempt attempt, SimMachine.Process from, Instance to) {
            this.attempt = attempt;
            this.from = from;
            this.to = to;
        }

        /** Reports the end of the attempt to the proxy, unless the connection is closed by then. */
        void reportEnd(Attempt.Outcome end) {
            world.schedule(
                    world.randomDelayNanos(),
                    () -> from.deliver(() -> {
                        if (!closed) {
                            call().ends.add(end);
                            exchanges.remove(attempt);
                            from.proxy.attemptEnded(attempt, end);
                        }
                    }));
        }

        OutgoingCall call() {
            return (OutgoingCall) attempt.request.clientContext;
        }

        /** Closes the connection; the instance then aborts the work. */
        void close() {
            closed = true;
            world.schedule(world.randomDelayNanos(), this::releaseSlot);
        }

        void releaseSlot() {
            if (working) {
                working = false;
                to.busy--;
            }
        }
    }

    private final SimWorld world;
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final Map<String, Instance> instances = new LinkedHashMap<>();
    final Map<String, Integer> slots = new HashMap<>(); // by service
    final Map<String, Integer> memory = new HashMap<>();
    final List<Duty> duties = new ArrayList<>();
    final List<OutgoingCall> calls = new ArrayList<>();
    /** Times at which an instance got more requests than it has slots. */
    final List<Long> slotViolations = new ArrayList<>();

    final List<String> rateViolations = new ArrayList<>(); // calls that exceeded the platform's rate limits
    final List<String> failedConnections = new ArrayList<>(); // by instance id, one entry per attempt
    /** Times at which a call reached an instance that had been draining for too long. */
    final List<Long> callsAfterDrain = new ArrayList<>();

    private final Map<String, Instance> byNonce = new HashMap<>();
    private final Map<Long, SimMachine.Process> holders = new HashMap<>(); // by fence
    private final Map<Attempt, Exchange> exchanges = new LinkedHashMap<>();
    private final Deque<String> listCalls = new ArrayDeque<>(); // calls of the last second
    private final Deque<String> dutyCalls = new ArrayDeque<>();
    long highestFence;
    long bootMs = 500;
    /** Age of the state that the platform's lists show. */
    long listLagMs = 800;

    long workMs = 100;
    /** Probability that a response of the platform is lost. */
    double lostResponseProbability;

    boolean unresponsive; // no call gets a response
    boolean refusesOldFences = true;
    /** Hosts whose calls never reach the platform. */
    final Set<String> unreachableHosts = new HashSet<>();

    /** Delays of the starts and stops, by host. */
    final Map<String, Long> dutyDelayMs = new HashMap<>();
    /** Probability that an instance closes the connection of a call that it has started. */
    double breakProbability;

    /** Probability that an instance rejects a call. */
    double rejectProbability;

    /** Probability that an attempt ends before it is sent. */
    double unsentProbability;

    private int instanceCount;

    SimPlatform(SimWorld world) {
        this.world = world;
    }

    Worker addWorker(String name, String zone, long megabytes) {
        Worker added = new Worker(name, zone, megabytes);
        workers.put(name, added);
        return added;
    }

    /** Returns the platform as this process sees it. */
    Platform clientFor(SimMachine.Process process) {
        return new Platform() {
            @Override
            public void listInstances(String token, Consumer<Response> onResponse) {
                request(
                        process,
                        "list" + (token == null ? "" : token),
                        listCalls,
                        world.rates.listCallsPerSecond(),
                        () -> page(token),
                        onResponse);
            }

            @Override
            public void listWorkers(Consumer<Response> onResponse) {
                request(
                        process,
                        "workers",
                        listCalls,
                        world.rates.listCallsPerSecond(),
                        SimPlatform.this::workerList,
                        onResponse);
            }

            @Override
            public void startInstance(
                    String holder,
                    long fence,
                    String service,
                    String worker,
                    String nonce,
                    Consumer<Response> onResponse) {
                request(
                        process,
                        "begin",
                        dutyCalls,
                        world.rates.dutyCallsPerSecond(),
                        () -> duty(
                                "begin",
                                process,
                                holder,
                                fence,
                                service + " " + nonce,
                                () -> createInstance(service, worker, nonce)),
                        onResponse);
            }

            @Override
            public void stopInstance(String holder, long fence, String id, Consumer<Response> onResponse) {
                request(
                        process,
                        "stop",
                        dutyCalls,
                        world.rates.dutyCallsPerSecond(),
                        () -> duty("stop", process, holder, fence, id, () -> removeInstance(id)),
                        onResponse);
            }
        };
    }

    /** Executes a call of this process within the rate limit; calls can be delayed or lost. */
    private void request(
            SimMachine.Process process,
            String call,
            Deque<String> recentCalls,
            double rate,
            Supplier<Platform.Response> result,
            Consumer<Platform.Response> onResponse) {
        boolean isDuty = call.equals("begin") || call.equals("stop");
        long delay = isDuty ? Environment.millisToNanos(dutyDelayMs.getOrDefault(process.machine.host, 0L)) : 0;
        world.schedule(world.randomDelayNanos() + delay, () -> {
            recentCalls.removeIf(c -> world.now() / 1_000_000 - Long.parseLong(c.substring(0, c.indexOf(' '))) >= 1000);
            boolean exceedsRate = recentCalls.size() >= rate;
            recentCalls.add(world.now() / 1_000_000 + " " + process.machine.host + " " + call);
            if (exceedsRate) {
                rateViolations.add(recentCalls.pollLast() + " after " + recentCalls);
            }
            Platform.Response response = unresponsive || unreachableHosts.contains(process.machine.host)
                    ? null
                    : exceedsRate ? new Platform.Response(429, null) : result.get();
            boolean lost = response == null || world.random.nextDouble() < lostResponseProbability;
            world.schedule(
                    lost ? Environment.millisToNanos(1200) : world.randomDelayNanos(),
                    () -> process.deliver(() -> onResponse.accept(lost ? null : response)));
        });
    }

    private Platform.Response page(String token) {
        long shownAt = world.now() - Environment.millisToNanos(listLagMs);
        int from = token == null ? 0 : Integer.parseInt(token);
        List<Instance> shown = instances.values().stream()
                .filter(r -> r.readyAt <= shownAt && r.goneAt > shownAt)
                .toList();
        List<Object> page = new ArrayList<>();
        shown.stream()
                .skip(from)
                .limit(50)
                .forEach(r -> page.add(Fields.tree(
                        "identifier",
                        r.id,
                        "service",
                        r.service,
                        "address",
                        r.address,
                        "zone",
                        r.worker.zone,
                        "worker_machine",
                        r.worker.name,
                        "concurrency_slots",
                        (long) slots.get(r.service),
                        "state",
                        r.drainingAt <= shownAt ? "draining" : "ready",
                        "cold_remaining_ms",
                        0L)));
        return new Platform.Response(
                200,
                Fields.tree(
                        "instances",
                        page,
                        "next_page_token",
                        from + 50 < shown.size() ? Integer.toString(from + 50) : null));
    }

    private Platform.Response workerList() {
        long shownAt = world.now() - Environment.millisToNanos(listLagMs);
        List<Object> list = new ArrayList<>();
        workers.values()
                .forEach(w -> list.add(Fields.tree(
                        "name",
                        w.name,
                        "zone",
                        w.zone,
                        "memory_mb",
                        w.memory,
                        "free_memory_mb",
                        free(w, shownAt),
                        "state",
                        w.draining ? "draining" : "ready")));
        return new Platform.Response(200, Fields.tree("worker_machines", list));
    }

    private long free(Worker worker, long shownAt) {
        return worker.memory
                - instances.values().stream()
                        .filter(r -> r.worker == worker && r.startedAt <= shownAt && r.goneAt > shownAt)
                        .mapToLong(r -> memory.get(r.service))
                        .sum();
    }

    /** Executes a start or stop, unless its fencing number is outdated, and records it. */
    private Platform.Response duty(
            String kind,
            SimMachine.Process process,
            String holder,
            long fence,
            String target,
            Supplier<Platform.Response> execute) {
        SimMachine.Process other = holders.putIfAbsent(fence, process);
        if (other != null && other != process) {
            world.violations.add("fence " + fence + " is used by two processes: " + other.machine.host + ", "
                    + process.machine.host);
        }
        Platform.Response response =
                fence < highestFence && refusesOldFences ? new Platform.Response(403, null) : execute.get();
        highestFence = Math.max(highestFence, fence);
        duties.add(new Duty(world.now(), kind, holder, fence, target, response.status()));
        return response;
    }

    private Platform.Response createInstance(String service, String worker, String nonce) {
        Worker target = workers.get(worker);
        Instance instance = byNonce.get(service + " " + nonce);
        if (instance == null) {
            if (target == null || target.draining || free(target, world.now()) < memory.get(service)) {
                return new Platform.Response(409, null);
            }
            instance = new Instance(service, target);
            instances.put(instance.id, instance);
            byNonce.put(service + " " + nonce, instance);
        }
        return new Platform.Response(200, Fields.tree("identifier", instance.id, "address", instance.address));
    }

    private Platform.Response removeInstance(String id) {
        Instance instance = instances.get(id);
        if (instance == null) {
            return new Platform.Response(404, null);
        }
        instance.goneAt = Math.min(instance.goneAt, world.now());
        return new Platform.Response(200, Map.of());
    }

    List<Instance> liveInstances(String service) {
        return instances.values().stream()
                .filter(r -> r.service.equals(service) && r.goneAt > world.now())
                .toList();
    }

    Set<String> workersOf(String service) {
        Set<String> names = new HashSet<>();
        liveInstances(service).forEach(r -> names.add(r.worker.name));
        return names;
    }

    // Calls of clients.

    /** Sends a client's call to this proxy; if the proxy is down, the call gets status 0. */
    OutgoingCall call(SimMachine at, String hostname, String path, long leftMs) {
        RouteDecision decision = at.proxy() == null ? null : at.proxy().route(hostname, path);
        Configuration.Route route = decision instanceof RouteDecision.Found found ? found.route() : null;
        OutgoingCall call = new OutgoingCall(route != null && route.idempotent());
        call.proxyProcess = at.process;
        calls.add(call);
        if (route == null) {
            call.answers.add(decision == null ? 0 : decision instanceof RouteDecision.Denied ? 404 : 503);
            return call;
        }
        at.process.deliver(() -> at.proxy()
                .handleRequest("a-" + calls.size(), route, Environment.millisToNanos(leftMs), "10.9.9.9", call));
        return call;
    }

    /** Closes the connections of a process that has ended. */
    void processEnded(SimMachine.Process process) {
        List.copyOf(exchanges.values()).stream()
                .filter(each -> each.from == process)
                .forEach(each -> {
                    exchanges.remove(each.attempt);
                    each.close();
                });
    }

    Transport transport(SimMachine.Process process) {
        return new Transport() {
            @Override
            public void send(Attempt attempt) {
                Exchange exchange = new Exchange(attempt, process, instances.get(attempt.instanceId));
                OutgoingCall call = exchange.call();
                if (!call.idempotent
                        && call.ends.stream().anyMatch(end -> end.executionStatus() != ExecutionStatus.NOT_EXECUTED)) {
                    world.violations.add(attempt.request.id + " is sent again after " + call.ends);
                }
                exchanges.put(attempt, exchange);
                if (world.random.nextDouble() < unsentProbability) {
                    exchange.reportEnd(Attempt.Outcome.UNSENT);
                } else {
                    world.schedule(world.randomDelayNanos(), () -> handle(exchange));
                }
            }

            @Override
            public boolean abandon(Attempt attempt) {
                Exchange exchange = exchanges.remove(attempt);
                if (exchange != null) {
                    exchange.call().ends.add(Attempt.Outcome.ABANDONED);
                    exchange.close();
                }
                return false;
            }

            @Override
            public void deliverAnswer(Attempt attempt) {
                addResponse(attempt.request, 200);
            }

            @Override
            public void sendError(Request request, int status, long pauseMillis, String why) {
                addResponse(request, status);
            }

            private void addResponse(Request request, int status) {
                ((OutgoingCall) request.clientContext).answers.add(status);
                ((OutgoingCall) request.clientContext).answeredAt = world.now();
            }

            @Override
            public void testConnection(String id, String address) {
                world.schedule(
                        2 * world.randomDelayNanos(),
                        () -> process.deliver(() -> process.proxy.connectionTested(
                                id, instances.get(id).acceptsConnections())));
            }

            @Override
            public void forgetInstance(String id) {
                // The simulation keeps no connections.
            }
        };
    }

    private void handle(Exchange exchange) {
        Instance to = exchange.to;
        if (exchange.closed) {
            return;
        }
        if (!to.acceptsConnections()) {
            failedConnections.add(to.id);
            exchange.reportEnd(Attempt.Outcome.NOT_CONNECTED);
            return;
        }
        // The list has shown the instance as draining for longer than drain_ms.
        if (to.drainingAt != Long.MAX_VALUE
                && world.now() - to.drainingAt > Environment.millisToNanos(listLagMs + 3000)) {
            callsAfterDrain.add(world.now());
        }
        if (to.busy >= slots.get(to.service)) {
            slotViolations.add(world.now());
            exchange.reportEnd(Attempt.Outcome.TURNED_AWAY);
        } else if (world.random.nextDouble() < rejectProbability) {
            exchange.reportEnd(Attempt.Outcome.TURNED_AWAY);
        } else {
            to.busy++;
            exchange.working = true;
            exchange.call().runs++;
            boolean breaks = world.random.nextDouble() < breakProbability;
            long work = (long) (workMs * 1e6 * (0.5 + world.random.nextDouble()));
            world.schedule(work, () -> {
                if (exchange.working) {
                    exchange.releaseSlot();
                    exchange.reportEnd(breaks ? Attempt.Outcome.BROKEN : Attempt.Outcome.ANSWERED);
                }
            });
        }
    }
}
