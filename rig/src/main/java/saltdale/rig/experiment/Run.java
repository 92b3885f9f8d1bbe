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
import saltdale.rig.load.Ask;
import saltdale.rig.load.Generator;
import saltdale.rig.load.Overloads;
import saltdale.rig.load.Trace;
import saltdale.rig.plan.Day;
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
        void at(double share, DispatcherProcesses dispatchers);
    }

    private static final Duration SLACK = Duration.ofMillis(50); // on sockets each limit is longer by this

    private Run() {}

    /** The asks of a day: its shape's, or those of its trace. */
    public static Iterator<Ask> asks(Day day, Path beside) {
        return day.traffic.trace() == null
                ? new Arrivals(day.traffic, day.jobs, day.length, day.seed * 7919 + 1)
                : Trace.read(beside.resolve(day.traffic.trace()))
                        .spliced(day.traffic.splice())
                        .asks(day.jobs, day.traffic.scale(), day.length)
                        .iterator();
    }

    /** The same, counted from when the clients begin. */
    public static Iterator<Ask> asks(Day day, Path beside, Duration start) {
        return new Shifted(asks(day, beside), start);
    }

    public static Outcome simulated(
            Day day, String version, String point, int repeat, Iterator<Ask> asks, Simulation.DispatcherFactory minds) {
        Simulation sim = new Simulation(day, minds == null ? ModuleDispatcher::new : minds, asks).run();
        Judge judge = sim.judge();
        Map<String, Double> figures = Outcome.figures(
                sim.tally(), judge.violationCount(), judge.requestCount(), judge.answeredCount(), judge.attemptCount());
        figures.put("events", (double) sim.executedEventCount());
        figures.put("probes_per_request", sim.probeCount() / (double) Math.max(1, judge.requestCount()));
        figures.put(
                "probe_share",
                sim.probeCount() * (day.probeCost.toNanos() / 1e9) / (day.capacity() * day.length.toNanos() / 1e9));
        figures.putAll(Overloads.figures(day, sim.tally(), sim.spread()));
        return new Outcome(
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
    public static Outcome onSockets(
            Day day,
            Version version,
            String point,
            int repeat,
            Iterator<Ask> asks,
            Path folder,
            String cpus,
            Progress progress)
            throws IOException {
        if (day.dispatchers > LoopbackAddresses.MAX_DISPATCHERS) {
            throw new IOException("on sockets a day has at most " + LoopbackAddresses.MAX_DISPATCHERS + " dispatchers");
        }
        Files.createDirectories(folder);
        EventRecorder notes = new EventRecorder();
        Origin origin = new Origin();
        LoopbackAddresses places = new LoopbackAddresses(freePort());
        AtomicReference<StandInFleet> fleet = new AtomicReference<>();
        try (LoopThread runners = new LoopThread("runners");
                LoopThread clients = new LoopThread("clients")) {
            RunnerListServer list = new RunnerListServer(runners, day, places, origin, notes);
            fleet.set(new StandInFleet(runners, day, places, origin, notes, list, day.seed));
            runners.start();
            clients.start();
            try (DispatcherProcesses dispatchers =
                    new DispatcherProcesses(day, version, places, folder, origin, notes, cpus)) {
                dispatchers.begin();
                Duration start = origin.now();
                Shifted shifted = new Shifted(asks, start);
                Generator generator = new Generator(
                        clients, day, dispatchers.addresses(), origin, notes, day.seed + 3, "n" + repeat, start);
                runners.runAndWait(runners::monitorDelay);
                clients.runAndWait(clients::monitorDelay);
                runners.runAndWait(() -> fleet.get().begin(start));
                clients.runAndWait(() -> generator.begin(shifted));
                dispatchers.countCpu();
                Thread faults = new Thread(() -> faults(day, dispatchers, origin, start), "faults of dispatchers");
                faults.setDaemon(true);
                faults.start();
                Duration end = start.plus(day.length);
                Duration last = end.plus(day.longestStay()).plusSeconds(5);
                while (origin.now().compareTo(end) < 0
                        || !generator.isOver() && origin.now().compareTo(last) < 0) {
                    Thread.sleep(100);
                    progress.at(
                            Math.min(1, (double) origin.now().minus(start).toNanos() / day.length.toNanos()),
                            dispatchers);
                }
                double cpu = dispatchers.cpu();
                double memory = dispatchers.memory();
                boolean died = !dispatchers.crashed().isEmpty();
                Files.writeString(folder.resolve("counters.txt"), dispatchers.get(0, "/counters"));
                Thread.sleep(300); // for what is still on its way to the stand-ins
                Duration late = Durations.max(runners.maxDelay(), clients.maxDelay());
                Judge judge = new Judge(JudgeSettings.of(day, SLACK.plus(late)), Duration.ofSeconds(5));
                clients.runAndWait(generator::hangUp);
                notes.replayTo(judge);
                judge.finish();
                Map<String, Double> figures = Outcome.figures(
                        generator.tally(),
                        judge.violationCount(),
                        judge.requestCount(),
                        judge.answeredCount(),
                        judge.attemptCount());
                figures.putAll(Overloads.figures(day, generator.tally(), generator.spread()));
                figures.put("cpu_us_per_job", cpu * 1e6 / Math.max(1, judge.requestCount()));
                figures.put("memory_mb", memory);
                figures.put("runners_late_most_ms", runners.maxDelay().toNanos() / 1e6);
                figures.put("generator_lag_p99_ms", generator.lag().getValueAtPercentile(99) / 1e3);
                figures.put("generator_lag_max_ms", generator.lag().getMaxValue() / 1e3);
                figures.put(
                        "runner_requests_per_job", fleet.get().requests() / (double) Math.max(1, judge.requestCount()));
                figures.put(
                        "first_1000_answers_s",
                        generator.thousandthAt() == null
                                ? Double.NaN
                                : generator.thousandthAt().minus(start).toNanos() / 1e9);
                figures.put("dispatchers_died", died ? 1.0 : 0.0);
                return new Outcome(
                        version.name(),
                        point,
                        repeat,
                        figures,
                        judge.violations(),
                        generator.isVoid(),
                        generator.tally(),
                        fleet.get().watch());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            }
        }
    }

    /** Does to dispatchers what the day says; on a thread of its own, since it waits for processes. */
    private static void faults(Day day, DispatcherProcesses dispatchers, Origin origin, Duration start) {
        for (TroubleSchedule.ScheduledAction turn : new TroubleSchedule(day.troubles).scheduledActions()) {
            if (!turn.trouble().onProcess()) {
                continue;
            }
            try {
                Thread.sleep(
                        Math.max(0, turn.at().plus(start).minus(origin.now()).toMillis()));
            } catch (InterruptedException e) {
                return;
            }
            List<Integer> which = turn.trouble().runners();
            switch (turn.action()) {
                case KILL_DISPATCHER -> which.forEach(dispatchers::kill);
                case SHUT_DOWN_DISPATCHER -> which.forEach(dispatchers::end);
                case PAUSE_DISPATCHER -> dispatchers.stop(which);
                case RESUME_DISPATCHER -> dispatchers.goOn(which);
                default -> which.forEach(dispatchers::revive);
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
    private record Shifted(Iterator<Ask> asks, Duration start) implements Iterator<Ask> {
        @Override
        public boolean hasNext() {
            return asks.hasNext();
        }

        @Override
        public Ask next() {
            Ask ask = asks.next();
            return new Ask(ask.number(), ask.at().plus(start), ask.job(), ask.size());
        }
    }
}
