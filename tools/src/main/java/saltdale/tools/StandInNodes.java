package saltdale.tools;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltdale.nodes.standin.NodeServer;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.transport.Address;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

@Command(
        name = "stand-in-nodes",
        mixinStandardHelpOptions = true,
        description = "Stands in for a coordination service with ephemeral nodes: one tree, one process, no consensus.")
final class StandInNodes implements Callable<Integer> {
    @Option(
            names = "--listen",
            required = true,
            paramLabel = "ADDRESS:PORT",
            description = "First address, numeric, on loopback.")
    private String listen;

    @Option(
            names = "--servers",
            defaultValue = "1",
            description = "Number of addresses, at consecutive ports (default: ${DEFAULT-VALUE}).")
    private int servers;

    @Option(
            names = "--state",
            paramLabel = "FILE",
            description = "Log file that a restart reads; without it no state is kept.")
    private Path state;

    @Option(
            names = "--tick",
            defaultValue = "2s",
            description = "Sessions last 2 to 20 ticks (default: ${DEFAULT-VALUE}).")
    private String tick;

    @Option(
            names = "--for",
            paramLabel = "SPAN",
            defaultValue = "1h",
            description = "Exits after this time (default: ${DEFAULT-VALUE}).")
    private String length;

    @Override
    public Integer call() throws Exception {
        EventLoop loop = new EventLoop();
        NodeServer server = new NodeServer(
                loop,
                new SocketBudget(loop, 100_000),
                span("--tick", tick),
                state,
                System::currentTimeMillis,
                System.nanoTime());
        InetSocketAddress first = loopback("--listen", listen);
        for (int i = 0; i < servers; i++) {
            InetSocketAddress at = new InetSocketAddress(first.getAddress(), first.getPort() + i);
            server.listen(at);
            System.out.println("nodes at " + LoopbackAddresses.text(at));
        }
        loop.schedule(span("--for", length), loop::stop);
        loop.run(() -> {});
        server.close();
        return 0;
    }

    /** Parses the duration given for an option. */
    static Duration span(String option, String text) {
        Duration span = TomlTable.parseDuration(text);
        if (span == null || span.isZero()) {
            throw new InvalidInputException(option + ": expected a duration such as 250ms, 90s or 1h");
        }
        return span;
    }

    /** Parses the loopback address given for an option. */
    static InetSocketAddress loopback(String option, String text) {
        InetSocketAddress address = Address.parse(text);
        if (address == null || !address.getAddress().isLoopbackAddress()) {
            throw new InvalidInputException(option + ": " + text + " is not a numeric loopback address with a port");
        }
        return address;
    }
}
