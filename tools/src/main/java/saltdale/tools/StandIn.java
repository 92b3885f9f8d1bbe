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

    @Parameters(index = "0", paramLabel = "runners|discovery|all", description = "What to stand in for.")
    private Part part;

    @Parameters(index = "1", paramLabel = "FILE", description = "The day, TOML.")
    private Path file;

    @Option(names = "--port", defaultValue = "7400", description = "Of all addresses (default: ${DEFAULT-VALUE}).")
    private int port;

    @Option(
            names = "--out",
            defaultValue = "out/stand-in",
            description = "Where the dispatchers' configurations are written (default: ${DEFAULT-VALUE}).")
    private Path out;

    @Option(
            names = "--for",
            paramLabel = "SPAN",
            defaultValue = "1h",
            description = "Ends by itself after this long (default: ${DEFAULT-VALUE}).")
    private String length;

    @Override
    public Integer call() throws Exception {
        Scenario day = Scenario.read(file);
        Duration span = StandInNodes.span("--for", length);
        Origin origin = new Origin();
        LoopbackAddresses places = new LoopbackAddresses(port);
        EventObserver nobody = EventObserver.NONE;
        Files.createDirectories(out);
        try (LoopThread loopThread = new LoopThread("stand-in")) {
            RunnerStateListener list = part == Part.runners
                    ? new Unheard()
                    : new RunnerListServer(loopThread, day, places, origin, nobody);
            StandInFleet fleet = part == Part.discovery
                    ? null
                    : new StandInFleet(loopThread, day, places, origin, nobody, list, day.seed);
            loopThread.start();
            loopThread.runAndWait(() -> {
                if (fleet != null) {
                    fleet.begin(origin.now());
                } else {
                    tell(loopThread, day, origin, list);
                }
            });
            for (int i = 0; i < day.dispatcherCount; i++) {
                Path config = out.resolve("config-" + i + ".json");
                Files.writeString(config, DispatcherProcesses.configuration(day, i));
                System.out.println("EDGE_NAME=d" + i + " EDGE_LISTEN=" + LoopbackAddresses.text(places.dispatcher(i))
                        + " EDGE_DISCOVERY=" + LoopbackAddresses.text(places.list(i)) + " EDGE_CONFIG=" + config
                        + " ./saltdale serve");
            }
            Thread.sleep(span.toMillis());
        } catch (IOException e) {
            throw new IOException("an address at port " + port + " can't be listened at: " + e.getMessage(), e);
        }
        return 0;
    }

    /** Without runners of its own, the list tells what the day's troubles would make it tell. */
    private static void tell(LoopThread loopThread, Scenario day, Origin origin, RunnerStateListener list) {
        for (TroubleSchedule.ScheduledAction turn : new TroubleSchedule(day.troubles).scheduledActions()) {
            boolean silent =
                    turn.action() == TroubleSchedule.Action.CRASH || turn.action() == TroubleSchedule.Action.VANISH;
            EventObserver.ListedHealth health = switch (turn.action()) {
                case CRASH, VANISH, REMOVE -> EventObserver.ListedHealth.GONE;
                case DRAIN, HAND_BACK -> EventObserver.ListedHealth.DRAINING;
                case START -> EventObserver.ListedHealth.UP;
                default -> null;
            };
            if (turn.action() == TroubleSchedule.Action.SILENCE_LIST
                    || turn.action() == TroubleSchedule.Action.RESUME_LIST) {
                loopThread.loop.schedule(
                        turn.at(), () -> list.setSilent(turn.action() == TroubleSchedule.Action.SILENCE_LIST));
            } else if (health != null) {
                loopThread.loop.schedule(
                        turn.at().plus(silent ? day.crashNoticeDelay : day.listUpdateDelay),
                        () -> turn.trouble()
                                .runners()
                                .forEach(i -> list.runnerChanged(
                                        i,
                                        health,
                                        health == EventObserver.ListedHealth.UP ? turn.at() : origin.now())));
            }
        }
    }

    /** Nobody wants to know what the list would. */
    private static final class Unheard implements RunnerStateListener {
        @Override
        public void runnerChanged(int runner, EventObserver.ListedHealth health, Duration bornAt) {
            // The list is kept elsewhere.
        }

        @Override
        public void linkChanged(int dispatcher, LinkCondition next) {
            // The list is kept elsewhere.
        }

        @Override
        public void setSilent(boolean silent) {
            // The list is kept elsewhere.
        }
    }
}
