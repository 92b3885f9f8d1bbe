package saltdale.tools;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltdale.rig.experiment.Run;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.load.Generator;
import saltdale.rig.plan.Scenario;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;

@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends a day's load to running dispatchers, in an open loop, and prints the figures.")
final class Load implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day whose load is sent (TOML).")
    private Path file;

    @Option(
            names = "--to",
            required = true,
            split = ",",
            paramLabel = "ADDRESS:PORT",
            description = "The dispatchers; numeric loopback addresses only.")
    private List<String> to;

    @Override
    public Integer call() throws Exception {
        Scenario day = Scenario.read(file);
        List<InetSocketAddress> addresses = new ArrayList<>();
        to.forEach(each -> addresses.add(StandInNodes.loopback("--to", each)));
        Origin origin = new Origin();
        try (LoopThread loopThread = new LoopThread("clients")) {
            loopThread.start();
            Duration start = origin.now();
            Generator generator = new Generator(
                    loopThread,
                    day,
                    addresses,
                    origin,
                    EventObserver.NONE,
                    day.seed + 3,
                    "l" + origin.unixMillis,
                    start);
            loopThread.runAndWait(() -> generator.start(
                    Run.clientRequests(day, file.toAbsolutePath().getParent(), start)));
            Duration giveUpAt = start.plus(day.length)
                    .plus(day.dispatcherSettings.maxClientTimeout())
                    .plusSeconds(5);
            while (origin.now().compareTo(giveUpAt) < 0 && !generator.isOver()) {
                Thread.sleep(50);
            }
            loopThread.runAndWait(() -> generator
                    .statistics()
                    .figures()
                    .forEach((name, value) -> System.out.printf(Locale.ROOT, "%-34s %.6g%n", name, value)));
            if (generator.voidReason() != null) {
                System.err.println("saltdale: void: " + generator.voidReason());
                return 1;
            }
        }
        return 0;
    }
}
