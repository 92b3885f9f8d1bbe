package saltdale.rig.experiment;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import saltdale.model.Durations;
import saltdale.rig.fleet.TroubleSchedule;
import saltdale.rig.judge.EventRecorder;
import saltdale.rig.judge.Judge;
import saltdale.rig.judge.JudgeSettings;
import saltdale.rig.load.Arrivals;
import saltdale.rig.load.ClientRequest;
import saltdale.rig.load.Generator;
import saltdale.rig.load.OverloadFigures;
import saltdale.rig.load.Trace;
import saltdale.rig.plan.Scenario;
import saltdale.rig.simulate.ModuleDispatcher;
import saltdale.rig.simulate.Simulation;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;
import saltdale.rig.standin.RunnerListServer;
import saltdale.rig.standin.StandInFleet;

/** One day played once: on sockets with real dispatchers, or in simulated time. */
public final class Run {
    /** Is told now and then how far a run is, 0 to 1, and may look at its dispatchers. */
    public interface Progress {
        void update(double share, DispatcherProcesses dispatchers);
    }

    private static final Duration TIMING_SLACK = Duration.ofMillis(50); // on sockets each limit is longer by this

    private Run() {}

    /** The asks of a day: its shape's, or those of its trace. */
    public static Iterator<ClientRequest> clientRequests(Scenario scenario, Path baseDirectory) {
        return scenario.traffic.trace() == null
                ? new Arrivals(scenario.traffic, scenario.workloads, scenario.length, scenario.seed * 7919 + 1)
                : Trace.read(baseDirectory.resolve(scenario.traffic.trace()))
                        .spliced(scenario.traffic.splice())
                        .requests(scenario.workloads, scenario.traffic.scale(), scenario.length)
                        .iterator();
    }

    /** The same, counted from when the clients begin. */
    public static Iterator<ClientRequest> clientRequests(Scenario scenario, Path baseDirectory, Duration start) {
        return new Shifted(clientRequests(scenario, baseDirectory), start);
    }

    public static RunResult runSimulated(
            Scenario scenario,
            String version,
            String point,
            int repeat,
            Iterator<ClientRequest> requests,
            Simulation.DispatcherFactory dispatcherFactory) {
        Simulation sim = new Simulation(
                        scenario, dispatcherFactory == null ? ModuleDispatcher::new : dispatcherFactory, requests)
                .run();
        Judge judge = sim.judge();
        Map<String, Double> figures = RunResult.figures(
                sim.tally(), judge.violationCount(), judge.requestCount(), judge.answeredCount(), judge.attemptCount());
        figures.put("events", (double) sim.executedEventCount());
        figures.put("probes_per_request", sim.probeCount() / (double) Math.max(1, judge.requestCount()));
        figures.put(
                "probe_share",
                sim.probeCount()
                        * (scenario.probeCost.toNanos() / 1e9)
                        / (scenario.capacity() * scenario.length.toNanos() / 1e9));
        figures.putAll(OverloadFigures.figures(scenario, sim.tally(), sim.spread()));
        return new RunResult(
                version,
                point,
                repeat,
                figures,
                judge.violations(),
                null,
                sim.tally(),
                sim.fleet().watch());
    }

    /**
     * On sockets.
     *
     * @param folder for the logs and configurations of the dispatchers
     */
    public static RunResult runOnSockets(
            Scenario scenario,
            Version version,
            String point,
            int repeat,
            Iterator<ClientRequest> requests,
            Path directory,
            String cpus,
            Progress progress)
            throws IOException {
        if (scenario.dispatcherCount > LoopbackAddresses.MOST_DISPATCHERS) {
            throw new IOException(
                    "on sockets a day has at most " + LoopbackAddresses.MOST_DISPATCHERS + " dispatchers");
        }
        Files.createDirectories(directory);
        EventRecorder recorder = new EventRecorder();
        Origin origin = new Origin();
        LoopbackAddresses addresses = new LoopbackAddresses(freePort());
        AtomicReference<StandInFleet> fleet = new AtomicReference<>();
        try (LoopThread runners = new LoopThread("runners");
                LoopThread clients = new LoopThread("clients")) {
            RunnerListServer list = new RunnerListServer(runners, scenario, addresses, origin, recorder);
            fleet.set(new StandInFleet(runners, scenario, addresses, origin, recorder, list, scenario.seed));
            runners.start();
            clients.start();
            try (DispatcherProcesses dispatchers =
                    new DispatcherProcesses(scenario, version, addresses, directory, origin, recorder, cpus)) {
                dispatchers.startAll();
                Duration start = origin.now();
                Shifted shifted = new Shifted(requests, start);
                Generator generator = new Generator(
                        clients,
                        scenario,
                        dispatchers.addresses(),
                        origin,
                        recorder,
                        scenario.seed + 3,
                        "n" + repeat,
                        start);
                runners.inside(runners::watchItself);
                clients.inside(clients::watchItself);
                runners.inside(() -> fleet.get().begin(start));
                clients.inside(() -> generator.start(shifted));
                dispatchers.resetCpu();
                Thread faults = new Thread(
                        () -> injectProcessFaults(scenario, dispatchers, origin, start), "faults of dispatchers");
                faults.setDaemon(true);
                faults.start();
                Duration end = start.plus(scenario.length);
                Duration last = end.plus(scenario.maxClientTime()).plusSeconds(5);
                while (origin.now().compareTo(end) < 0
                        || !generator.isOver() && origin.now().compareTo(last) < 0) {
                    Thread.sleep(100);
                    progress.update(
                            Math.min(1, (double) origin.now().minus(start).toNanos() / scenario.length.toNanos()),
                            dispatchers);
                }
                double cpu = dispatchers.cpuSeconds();
                double memory = dispatchers.maxMemoryMb();
                boolean died = !dispatchers.crashed().isEmpty();
                Files.writeString(directory.resolve("counters.txt"), dispatchers.get(0, "/counters"));
                Thread.sleep(300); // for what is still on its way to the stand-ins
                Duration late = Durations.max(runners.mostLate(), clients.mostLate());
                Judge judge = new Judge(JudgeSettings.of(scenario, TIMING_SLACK.plus(late)), Duration.ofSeconds(5));
                clients.inside(generator::closeIdleConnections);
                recorder.replayTo(judge);
                judge.finish();
                Map<String, Double> figures = RunResult.figures(
                        generator.statistics(),
                        judge.violationCount(),
                        judge.requestCount(),
                        judge.answeredCount(),
                        judge.attemptCount());
                figures.putAll(OverloadFigures.figures(scenario, generator.statistics(), generator.shedSpread()));
                figures.put("cpu_us_per_job", cpu * 1e6 / Math.max(1, judge.requestCount()));
                figures.put("memory_mb", memory);
                figures.put("runners_late_most_ms", runners.mostLate().toNanos() / 1e6);
                figures.put("generator_lag_p99_ms", generator.lag().getValueAtPercentile(99) / 1e3);
                figures.put("generator_lag_max_ms", generator.lag().getMaxValue() / 1e3);
                figures.put(
                        "runner_requests_per_job", fleet.get().requests() / (double) Math.max(1, judge.requestCount()));
                figures.put(
                        "first_1000_answers_s",
                        generator.thousandthAnswerAt() == null
                                ? Double.NaN
                                : generator.thousandthAnswerAt().minus(start).toNanos() / 1e9);
                figures.put("dispatchers_died", died ? 1.0 : 0.0);
                return new RunResult(
                        version.name(),
                        point,
                        repeat,
                        figures,
                        judge.violations(),
                        generator.voidReason(),
                        generator.statistics(),
                        fleet.get().watch());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            }
        }
    }

    /** Does to dispatchers what the day says; on a thread of its own, since it waits for processes. */
    private static void injectProcessFaults(
            Scenario scenario, DispatcherProcesses dispatchers, Origin origin, Duration start) {
        for (TroubleSchedule.ScheduledAction step : new TroubleSchedule(scenario.troubles).scheduledActions()) {
            if (!step.trouble().isProcessFault()) {
                continue;
            }
            try {
                Thread.sleep(
                        Math.max(0, step.at().plus(start).minus(origin.now()).toMillis()));
            } catch (InterruptedException e) {
                return;
            }
            List<Integer> which = step.trouble().runners();
            switch (step.action()) {
                case KILL_DISPATCHER -> which.forEach(dispatchers::kill);
                case SHUT_DOWN_DISPATCHER -> which.forEach(dispatchers::shutDown);
                case PAUSE_DISPATCHER -> dispatchers.pause(which);
                case RESUME_DISPATCHER -> dispatchers.resume(which);
                default -> which.forEach(dispatchers::restart);
            }
        }
    }

    /** A port that is free by now on loopback. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** The asks, counted from when the clients begin. */
    private record Shifted(Iterator<ClientRequest> requests, Duration start) implements Iterator<ClientRequest> {
        @Override
        public boolean hasNext() {
            return requests.hasNext();
        }

        @Override
        public ClientRequest next() {
            ClientRequest request = requests.next();
            return new ClientRequest(
                    request.number(),
                    request.intendedAt().plus(start),
                    request.plannedWorkload(),
                    request.workSeconds());
        }
    }
}
