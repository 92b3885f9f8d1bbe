package saltdale.tools;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltdale.nodes.list.Registration;
import saltdale.nodes.membership.RunnerInfo;
import saltdale.nodes.wire.Paths;
import saltdale.rig.plan.InvalidInputException;
import saltdale.transport.Address;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;
import sun.misc.Signal;

@Command(
        name = "register",
        mixinStandardHelpOptions = true,
        description = {
            "Keeps the ephemeral node of a runner that cannot do so itself, also after its session expires.",
            "SIGTERM removes the node; SIGUSR2 marks it as draining."
        })
final class Register implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(Register.class);

    @Option(
            names = "--to",
            required = true,
            split = ",",
            paramLabel = "ADDRESS:PORT",
            description = "Servers of the coordination service.")
    private List<String> to;

    @Option(
            names = "--node",
            required = true,
            paramLabel = "PATH",
            description = "Path of the node, such as /boxes/b1.")
    private String node;

    @Option(
            names = "--dial",
            required = true,
            paramLabel = "ADDRESS:PORT",
            description = "Address at which the runner listens.")
    private String dial;

    @Option(names = "--site", defaultValue = "")
    private String site;

    @Option(names = "--class", defaultValue = "", description = "Machine class of the runner.")
    private String machineClass;

    @Option(names = "--block", defaultValue = "0")
    private int block;

    @Option(
            names = "--born",
            defaultValue = "0",
            description = "Start time of its process, Unix time in ms (0: long ago).")
    private long born;

    @Option(
            names = "--session",
            defaultValue = "6s",
            description = "Session timeout to request (default: ${DEFAULT-VALUE}).")
    private String session;

    @Override
    public Integer call() throws Exception {
        if (Address.parse(dial) == null) {
            throw new InvalidInputException("--dial: " + dial + " is not a numeric address with a port");
        } else if (Paths.validationError(node) != null) {
            throw new InvalidInputException("--node: a path that " + Paths.validationError(node));
        }
        List<InetSocketAddress> servers = new ArrayList<>();
        to.forEach(each -> servers.add(StandInNodes.loopback("--to", each)));
        EventLoop loop = new EventLoop();
        RunnerInfo box = new RunnerInfo(dial, site, machineClass, block, 1, born, false);
        Registration registration = new Registration(
                loop,
                new SocketBudget(loop, 64),
                servers,
                StandInNodes.span("--session", session),
                new SplittableRandom(System.nanoTime()),
                node,
                box);
        registration.start();
        Signal.handle(
                new Signal("USR2"),
                s -> loop.execute(
                        () -> registration.update(new RunnerInfo(dial, site, machineClass, block, 1, born, true))));
        for (String signal : List.of("TERM", "INT")) {
            Signal.handle(new Signal(signal), s -> loop.execute(() -> registration.close(loop::stop)));
        }
        logChanges(loop, registration, null);
        loop.run(() -> {});
        return 0;
    }

    /** Logs a line whenever the state of the registration changes. */
    private static void logChanges(EventLoop loop, Registration registration, String lastState) {
        String state = registration.isHeld()
                ? "the node is registered"
                : registration.failureReason() == null
                        ? "the node is not registered; service state: "
                                + registration.state().name().toLowerCase()
                        : registration.failureReason();
        if (!state.equals(lastState)) {
            LOG.info("{}", state);
        }
        loop.schedule(Duration.ofMillis(100), () -> logChanges(loop, registration, state));
    }
}
