package saltdale.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.live.EndToEndRun;
import saltdale.rig.platform.live.NodeProcesses;
import saltdale.rig.platform.live.PlatformStandIn;
import saltdale.rig.platform.live.RunnerFaults;
import saltdale.rig.platform.live.Soak;

@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description = "Runs the platform front and function scaler on loopback, against a stand-in for the platform.",
        subcommands = {
            Platform.TryCommand.class,
            Platform.SoakCommand.class,
            Platform.StandInCommand.class,
            Platform.SettingsCommand.class
        })
final class Platform implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return 2;
    }

    /** Options for the size and the addresses of a deployment. */
    static final class Size {
        @Option(
                names = "--control-nodes",
                defaultValue = "3",
                description = "Machines that hold the state (default: ${DEFAULT-VALUE}).")
        private int controlNodes;

        @Option(
                names = "--proxies",
                defaultValue = "3",
                description = "Machines that carry calls (default: ${DEFAULT-VALUE}).")
        private int proxies;

        @Option(
                names = "--net",
                defaultValue = "77",
                paramLabel = "N",
                description = "Machines at 127.N.zone.number, runners at 127.N+1 (default: ${DEFAULT-VALUE}).")
        private int net;

        Deployment deployment() {
            return deployment(0);
        }

        /** The deployment at other addresses: those of an earlier one stay in use in this process. */
        Deployment deployment(int offset) {
            try {
                return Deployment.small(net + offset, proxies, controlNodes);
            } catch (IllegalArgumentException e) {
                throw new InvalidInputException(e.getMessage());
            }
        }
    }

    /** Options for the program to run and the folder for its files. */
    static final class Build {
        static final String DEFAULT = "node/target/saltdale-node.jar";

        @Option(names = "--jar", paramLabel = "FILE", description = "The program to run (default: " + DEFAULT + ").")
        private Path jar;

        @Option(
                names = "--out",
                defaultValue = "out/platform",
                description = "Folder for settings, disks and logs (default: ${DEFAULT-VALUE}).")
        private Path out;

        Path jar() {
            Path file = jar == null ? Main.home().resolve(DEFAULT) : jar;
            if (!Files.isReadable(file)) {
                throw new InvalidInputException("--jar: cannot read " + file + "; build it or name another file");
            }
            return file;
        }
    }

    @Command(
            name = "try",
            mixinStandardHelpOptions = true,
            description = "Starts the stand-in and real processes, sends calls, kills a proxy, and checks the results.")
    static final class TryCommand implements Callable<Integer> {
        @Mixin
        private Size size;

        @Mixin
        private Build build;

        @Option(
                names = "--seconds",
                defaultValue = "15",
                description = "Duration of the traffic (default: ${DEFAULT-VALUE}).")
        private int seconds;

        @Option(names = "--rate", defaultValue = "60", description = "Calls per second (default: ${DEFAULT-VALUE}).")
        private double rate;

        @Option(
                names = "--fault",
                paramLabel = "lost|garbled|cut|extra=SHARE",
                description = "Share of responses that runners corrupt in the second half; may be repeated.")
        private Map<String, Double> faults = Map.of();

        @Option(names = "--drain-worker", description = "Drains a worker half-way.")
        private boolean drain;

        @Option(names = "--crash-worker", description = "Crashes a worker half-way; it comes back empty.")
        private boolean crash;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Seed of all random choices (default: ${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() throws Exception {
            if (seconds < 1 || !(rate > 0)) {
                throw new InvalidInputException("--seconds and --rate: expected values over 0");
            }
            Path jar = build.jar();
            EndToEndRun.Scenario day = new EndToEndRun.Scenario(seconds, rate, drain, crash);
            return EndToEndRun.run(
                            size.deployment(), day, jar, build.out, new RunnerFaults(kinds(), seed), seed, System.out)
                    ? 0
                    : 1;
        }

        private Map<RunnerFaults.Kind, Double> kinds() {
            Map<RunnerFaults.Kind, Double> kinds = new EnumMap<>(RunnerFaults.Kind.class);
            faults.forEach((name, share) -> {
                try {
                    kinds.put(RunnerFaults.Kind.valueOf(name.toUpperCase(java.util.Locale.ROOT)), share);
                } catch (IllegalArgumentException e) {
                    throw new InvalidInputException("--fault: unknown kind " + name);
                }
            });
            return kinds;
        }
    }

    @Command(
            name = "soak",
            mixinStandardHelpOptions = true,
            description = "Runs real processes under overlapping faults and configuration changes, for many seeds.")
    static final class SoakCommand implements Callable<Integer> {
        private static final int MAX_SEEDS = 50;
        private static final int MAX_FLOOD = 10; // thousands of connections; of more, few are accepted

        @Mixin
        private Size size;

        @Mixin
        private Build build;

        @Option(
                names = "--seeds",
                defaultValue = "1",
                description = "Number of seeds to run (default: ${DEFAULT-VALUE}).")
        private int seeds;

        @Option(names = "--seed", defaultValue = "1", description = "The first seed (default: ${DEFAULT-VALUE}).")
        private long seed;

        @Option(
                names = "--bouts",
                defaultValue = "5",
                description = "Rounds of faults per seed (default: ${DEFAULT-VALUE}).")
        private int bouts;

        @Option(
                names = "--flood",
                paramLabel = "FACTOR",
                defaultValue = "1",
                description = "Thousands of reads that wait at one control node at once, in each round (default: "
                        + "${DEFAULT-VALUE}).")
        private double flood;

        @Override
        public Integer call() throws Exception {
            if (seeds < 1 || seeds > MAX_SEEDS || bouts < 1) {
                throw new InvalidInputException("--seeds: expected 1 to " + MAX_SEEDS + "; --bouts: expected over 0");
            } else if (!(flood >= 0 && flood <= MAX_FLOOD)) {
                throw new InvalidInputException("--flood: expected 0 to " + MAX_FLOOD);
            }
            List<String> program = List.of("-jar", build.jar().toAbsolutePath().toString());
            int failed = 0;
            for (int i = 0; i < seeds; i++) {
                Path folder = build.out.resolve("seed-" + (seed + i));
                boolean passed = Soak.run(size.deployment(2 * i), program, folder, bouts, flood, seed + i, System.out);
                failed += passed ? 0 : 1;
            }
            System.out.println(seeds + " seeds, " + failed + " failed");
            return failed == 0 ? 0 : 1;
        }
    }

    @Command(
            name = "stand-in",
            mixinStandardHelpOptions = true,
            description = "Stands in for the platform and its runners until it is stopped.")
    static final class StandInCommand implements Callable<Integer> {
        @Mixin
        private Size size;

        @Option(
                names = "--configure",
                description = "Sends the first configuration to the control nodes until one accepts it.")
        private boolean configure;

        @Option(
                names = "--calls",
                paramLabel = "FILE",
                description = "File that gets a line for each call to the platform.")
        private Path calls;

        @Option(
                names = "--for",
                paramLabel = "SPAN",
                defaultValue = "1h",
                description = "Exits after this time (default: ${DEFAULT-VALUE}).")
        private String length;

        @Override
        public Integer call() throws Exception {
            Deployment deployment = size.deployment();
            try (PlatformStandIn standIn = new PlatformStandIn(deployment, new RunnerFaults(Map.of(), 1), 1, calls)) {
                System.out.println("platform at " + deployment.platformAddress());
                if (configure) {
                    standIn.sendFirstConfiguration(
                            status -> System.out.println("configuration answered with " + status));
                }
                Thread.sleep(StandInNodes.span("--for", length).toMillis());
            }
            return 0;
        }
    }

    @Command(
            name = "settings",
            mixinStandardHelpOptions = true,
            description = "Writes the settings files for a first start, and prints the commands that use them.")
    static final class SettingsCommand implements Callable<Integer> {
        @Mixin
        private Size size;

        @Mixin
        private Build build;

        @Override
        public Integer call() throws Exception {
            Path jar = build.jar == null ? Main.home().resolve(Build.DEFAULT) : build.jar;
            NodeProcesses processes = new NodeProcesses(size.deployment(), jar, build.out);
            for (Map.Entry<Machine, Path> each : processes.writeSettings().entrySet()) {
                System.out.println(
                        "SALTDALE_BOOT=" + each.getValue() + " " + String.join(" ", processes.command(each.getKey())));
            }
            return 0;
        }
    }
}
