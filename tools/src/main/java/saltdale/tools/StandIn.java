package saltdale.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltdale.rig.experiment.DispatcherProcesses;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.fleet.TroubleSchedule;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.plan.Scenario;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;
import saltdale.rig.standin.RunnerListServer;
import saltdale.rig.standin.RunnerStateListener;
import saltdale.rig.standin.StandInFleet;

@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        description = "Stands in for the runners of a day, for their list, or for both, on loopback addresses.")
final class StandIn implements Callable<Integer> {
    enum Part {
        runners,
        discovery,
        all
    }

    @Parameters(index = "0", paramLabel = "runners|discovery|all", description = "The parts to stand in for.")
    private Part part;

    @Parameters(index = "1", paramLabel = "FILE", description = "The day to run (TOML).")
    private Path file;

    @Option(names = "--port", defaultValue = "7400", description = "Port of all addresses (default: ${DEFAULT-VALUE}).")
    private int port;

    @Option(
            names = "--out",
            defaultValue = "out/stand-in",
            description = "Folder for the dispatchers' configurations (default: ${DEFAULT-VALUE}).")
    private Path out;

    @Option(
            names = "--for",
            paramLabel = "SPAN",
            defaultValue = "1h",
            description = "Exits after this time (default: ${DEFAULT-VALUE}).")
    private String length;

    @Override
    public Integer call() throws Exception {
        Scenario day = Scenario.read(file);
        Duration duration = StandInNodes.span("--for", length);
        Origin origin = new Origin();
        LoopbackAddresses addresses = new LoopbackAddresses(port);
        EventObserver observer = EventObserver.NONE;
        Files.createDirectories(out);
        try (LoopThread loopThread = new LoopThread("stand-in")) {
            RunnerStateListener list = part == Part.runners
                    ? new IgnoringListener()
                    : new RunnerListServer(loopThread, day, addresses, origin, observer);
            StandInFleet fleet = part == Part.discovery
                    ? null
                    : new StandInFleet(loopThread, day, addresses, origin, observer, list, day.seed);
            loopThread.start();
            loopThread.runAndWait(() -> {
                if (fleet != null) {
                    fleet.begin(origin.now());
                } else {
                    scheduleListChanges(loopThread, day, origin, list);
                }
            });
            for (int i = 0; i < day.dispatcherCount; i++) {
                Path config = out.resolve("config-" + i + ".json");
                Files.writeString(config, DispatcherProcesses.configuration(day, i));
                System.out.println("EDGE_NAME=d" + i + " EDGE_LISTEN=" + LoopbackAddresses.text(addresses.dispatcher(i))
                        + " EDGE_DISCOVERY=" + LoopbackAddresses.text(addresses.list(i)) + " EDGE_CONFIG=" + config
                        + " ./saltdale serve");
            }
            Thread.sleep(duration.toMillis());
        } catch (IOException e) {
            throw new IOException("cannot listen at port " + port + ": " + e.getMessage(), e);
        }
        return 0;
    }

    /** Without runners in this process, applies the changes of the day's troubles directly to the list. */
    private static void scheduleListChanges(
            LoopThread loopThread, Scenario day, Origin origin, RunnerStateListener list) {
        for (TroubleSchedule.ScheduledAction scheduled : new TroubleSchedule(day.troubles).scheduledActions()) {
            boolean noticedLate = scheduled.action() == TroubleSchedule.Action.CRASH
                    || scheduled.action() == TroubleSchedule.Action.VANISH;
            EventObserver.ListedHealth health = switch (scheduled.action()) {
                case CRASH, VANISH, REMOVE -> EventObserver.ListedHealth.GONE;
                case DRAIN, HAND_BACK -> EventObserver.ListedHealth.DRAINING;
                case START -> EventObserver.ListedHealth.UP;
                default -> null;
            };
            if (scheduled.action() == TroubleSchedule.Action.SILENCE_LIST
                    || scheduled.action() == TroubleSchedule.Action.RESUME_LIST) {
                loopThread.loop.schedule(
                        scheduled.at(),
                        () -> list.setSilent(scheduled.action() == TroubleSchedule.Action.SILENCE_LIST));
            } else if (health != null) {
                loopThread.loop.schedule(
                        scheduled.at().plus(noticedLate ? day.crashNoticeDelay : day.listUpdateDelay),
                        () -> scheduled
                                .trouble()
                                .runners()
                                .forEach(i -> list.runnerChanged(
                                        i,
                                        health,
                                        health == EventObserver.ListedHealth.UP ? scheduled.at() : origin.now())));
            }
        }
    }

    /** Ignores all changes: the list runs in another process. */
    private static final class IgnoringListener implements RunnerStateListener {
        @Override
        public void runnerChanged(int runner, EventObserver.ListedHealth health, Duration startedAt) {
            // the list runs in another process
        }

        @Override
        public void linkChanged(int dispatcher, LinkCondition condition) {
            // the list runs in another process
        }

        @Override
        public void setSilent(boolean silent) {
            // the list runs in another process
        }
    }
}
