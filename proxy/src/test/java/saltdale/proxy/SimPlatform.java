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
    record Duty(long at, String kind, String holder, long fence, String what, int status) {}

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
        final long begunAt = world.now();
        final long upAt;
        long drainingAt = Long.MAX_VALUE;
        long goneAt = Long.MAX_VALUE;
        int busy;
        int mostBusy;

        Instance(String service, Worker worker) {
            this.service = service;
            this.worker = worker;
            upAt = begunAt + Environment.millisToNanos(bootMs);
        }

        boolean acceptsConnections() {
            return world.now() >= upAt && world.now() < goneAt;
        }

        void drain() {
            drainingAt = world.now();
            goneAt = world.now() + Environment.millisToNanos(listLagMs + 4500); // a little after the drain time as listed
        }
    }

    /** A call of a client, with its attempts and its responses. */
    static final class OutgoingCall {
        final boolean idempotent;
        final List<Integer> answers = new ArrayList<>();
        final List<Attempt.Outcome> ends = new ArrayList<>();
        int runs;
        long answeredAt;
        SimMachine.Process at;

        OutgoingCall(boolean idempotent) {
            this.idempotent = idempotent;
        }

        /** Whether the process that accepted the call has ended. */
        boolean isLost() {
            return at == null || at.dead;
        }

        boolean is(int status) {
            return answers.equals(List.of(status));
        }
    }

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

        void end(Attempt.Outcome end) {
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
            world.schedule(world.randomDelayNanos(), this::done);
        }

        void done() {
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
    long listLagMs = 800;
    long workMs = 100;
    double lostResponseProbability;
    boolean unresponsive;
    boolean refusesOldFences = true;
    /** Hosts whose calls never reach the platform, and the delays of the starts and stops by host. */
    final Set<String> unreachableHosts = new HashSet<>();

    final Map<String, Long> dutyDelayMs = new HashMap<>();
    double breakProbability; // that an instance breaks a call off after it has started it
    double rejectProbability;
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

    Platform clientFor(SimMachine.Process process) {
        return new Platform() {
            @Override
            public void listInstances(String token, Consumer<Response> answer) {
                request(
                        process,
                        "list" + (token == null ? "" : token),
                        listCalls,
                        world.rates.listCallsPerSecond(),
                        () -> page(token),
                        answer);
            }

            @Override
            public void listWorkers(Consumer<Response> answer) {
                request(
                        process,
                        "workers",
                        listCalls,
                        world.rates.listCallsPerSecond(),
                        SimPlatform.this::workerList,
                        answer);
            }

            @Override
            public void startInstance(
                    String holder, long fence, String service, String worker, String nonce, Consumer<Response> answer) {
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
                        answer);
            }

            @Override
            public void stopInstance(String holder, long fence, String id, Consumer<Response> answer) {
                request(
                        process,
                        "stop",
                        dutyCalls,
                        world.rates.dutyCallsPerSecond(),
                        () -> duty("stop", process, holder, fence, id, () -> removeInstance(id)),
                        answer);
            }
        };
    }

    private void request(
            SimMachine.Process process,
            String call,
            Deque<String> recentCalls,
            double rate,
            Supplier<Platform.Response> result,
            Consumer<Platform.Response> answer) {
        boolean isDuty = call.equals("begin") || call.equals("stop");
        long late = isDuty ? Environment.millisToNanos(dutyDelayMs.getOrDefault(process.machine.host, 0L)) : 0;
        world.schedule(world.randomDelayNanos() + late, () -> {
            recentCalls.removeIf(c -> world.now() / 1_000_000 - Long.parseLong(c.substring(0, c.indexOf(' '))) >= 1000);
            boolean exceedsRate = recentCalls.size() >= rate;
            recentCalls.add(world.now() / 1_000_000 + " " + process.machine.host + " " + call);
            if (exceedsRate) {
                rateViolations.add(recentCalls.pollLast() + " after " + recentCalls);
            }
            Platform.Response reply = unresponsive || unreachableHosts.contains(process.machine.host)
                    ? null
                    : exceedsRate ? new Platform.Response(429, null) : result.get();
            boolean lost = reply == null || world.random.nextDouble() < lostResponseProbability;
            world.schedule(
                    lost ? Environment.millisToNanos(1200) : world.randomDelayNanos(),
                    () -> process.deliver(() -> answer.accept(lost ? null : reply)));
        });
    }

    private Platform.Response page(String token) {
        long then = world.now() - Environment.millisToNanos(listLagMs);
        int from = token == null ? 0 : Integer.parseInt(token);
        List<Instance> shown = instances.values().stream()
                .filter(r -> r.upAt <= then && r.goneAt > then)
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
                        r.drainingAt <= then ? "draining" : "ready",
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
        long then = world.now() - Environment.millisToNanos(listLagMs);
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
                        free(w, then),
                        "state",
                        w.draining ? "draining" : "ready")));
        return new Platform.Response(200, Fields.tree("worker_machines", list));
    }

    private long free(Worker worker, long then) {
        return worker.memory
                - instances.values().stream()
                        .filter(r -> r.worker == worker && r.begunAt <= then && r.goneAt > then)
                        .mapToLong(r -> memory.get(r.service))
                        .sum();
    }

    private Platform.Response duty(
            String kind,
            SimMachine.Process process,
            String holder,
            long fence,
            String what,
            Supplier<Platform.Response> execute) {
        SimMachine.Process other = holders.putIfAbsent(fence, process);
        if (other != null && other != process) {
            world.violations.add("fence " + fence + " is used by two processes: " + other.machine.host + ", "
                    + process.machine.host);
        }
        Platform.Response answer =
                fence < highestFence && refusesOldFences ? new Platform.Response(403, null) : execute.get();
        highestFence = Math.max(highestFence, fence);
        duties.add(new Duty(world.now(), kind, holder, fence, what, answer.status()));
        return answer;
    }

    private Platform.Response createInstance(String service, String worker, String nonce) {
        Worker on = workers.get(worker);
        Instance instance = byNonce.get(service + " " + nonce);
        if (instance == null) {
            if (on == null || on.draining || free(on, world.now()) < memory.get(service)) {
                return new Platform.Response(409, null);
            }
            instance = new Instance(service, on);
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
        OutgoingCall asked = new OutgoingCall(route != null && route.idempotent());
        asked.at = at.process;
        calls.add(asked);
        if (route == null) {
            asked.answers.add(decision == null ? 0 : decision instanceof RouteDecision.Denied ? 404 : 503);
            return asked;
        }
        at.process.deliver(() ->
                at.proxy().handleRequest("a-" + calls.size(), route, Environment.millisToNanos(leftMs), "10.9.9.9", asked));
        return asked;
    }

    /** Closes the connections of a process that has ended. */
    void processEnded(SimMachine.Process process) {
        List.copyOf(exchanges.values()).stream().filter(s -> s.from == process).forEach(s -> {
            exchanges.remove(s.attempt);
            s.close();
        });
    }

    Transport transport(SimMachine.Process process) {
        return new Transport() {
            @Override
            public void send(Attempt attempt) {
                Exchange exchange = new Exchange(attempt, process, instances.get(attempt.instanceId));
                OutgoingCall asked = exchange.call();
                if (!asked.idempotent
                        && asked.ends.stream().anyMatch(end -> end.executionStatus() != ExecutionStatus.NOT_EXECUTED)) {
                    world.violations.add(attempt.request.id + " is sent again after " + asked.ends);
                }
                exchanges.put(attempt, exchange);
                if (world.random.nextDouble() < unsentProbability) {
                    exchange.end(Attempt.Outcome.UNSENT);
                } else {
                    world.schedule(world.randomDelayNanos(), () -> reached(exchange));
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
                answered(attempt.request, 200);
            }

            @Override
            public void sendError(Request request, int status, long pauseMillis, String why) {
                answered(request, status);
            }

            private void answered(Request request, int status) {
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

    private void reached(Exchange exchange) {
        Instance to = exchange.to;
        if (exchange.closed) {
            return;
        }
        if (!to.acceptsConnections()) {
            failedConnections.add(to.id);
            exchange.end(Attempt.Outcome.NOT_CONNECTED);
            return;
        }
        // The list has shown the instance as draining for longer than drain_ms.
        if (to.drainingAt != Long.MAX_VALUE && world.now() - to.drainingAt > Environment.millisToNanos(listLagMs + 3000)) {
            callsAfterDrain.add(world.now());
        }
        if (to.busy >= slots.get(to.service)) {
            slotViolations.add(world.now());
            exchange.end(Attempt.Outcome.TURNED_AWAY);
        } else if (world.random.nextDouble() < rejectProbability) {
            exchange.end(Attempt.Outcome.TURNED_AWAY);
        } else {
            to.busy++;
            exchange.working = true;
            exchange.call().runs++;
            boolean breaking = world.random.nextDouble() < breakProbability;
            long work = (long) (workMs * 1e6 * (0.5 + world.random.nextDouble()));
            world.schedule(work, () -> {
                if (exchange.working) {
                    exchange.done();
                    exchange.end(breaking ? Attempt.Outcome.BROKEN : Attempt.Outcome.ANSWERED);
                }
            });
        }
    }
}
