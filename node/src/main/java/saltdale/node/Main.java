package saltdale.node;

import java.io.IOException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import sun.misc.Signal;

/** The entry point of the processes: a {@code proxy} forwards requests, a {@code control} node holds the state. */
public final class Main {
    private static final String TRAINING_ROLE = "train-archive";

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    /**
     * Returns the exit status: 0 after a regular shutdown, 2 for an invalid argument or setting, 1 for any other
     * error.
     */
    static int run(String[] args) {
        ReloadSignal reload = ReloadSignal.install();
        ArgumentParser parser = ArgumentParsers.newFor("saltdale")
                .build()
                .description("HTTP proxy and autoscaler for functions. The settings are read from the JSON file that "
                        + Settings.PATH_VARIABLE + " names.");
        parser.addArgument("role")
                .choices("proxy", "control", TRAINING_ROLE)
                .help("proxy: forwards requests; control: holds the state, serves the operators' calls, starts and "
                        + "stops instances; " + TRAINING_ROLE + ": runs both for a few seconds on loopback, without "
                        + "settings, to create a class-data archive (-XX:ArchiveClassesAtExit)");
        parser.addArgument("--trace")
                .action(Arguments.storeTrue())
                .help("write every log entry to standard error immediately, not only when an error occurs");
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return args.length == 1 && args[0].matches("-h|--help") ? 0 : 2;
        }
        if (arguments.getBoolean("trace")) {
            LogRing.enableTracing();
        }
        String role = arguments.getString("role");
        try {
            if (role.equals(TRAINING_ROLE)) {
                ClassArchiveTraining.run();
                return 0;
            }
            Settings settings = Settings.read(System.getenv(Settings.PATH_VARIABLE));
            NodeProcess process = role.equals("proxy") ? new ProxyProcess(settings) : new ControlProcess(settings);
            for (String signal : new String[] {"TERM", "INT"}) {
                Signal.handle(new Signal(signal), received -> process.shutDown());
            }
            reload.forwardTo(process);
            process.run();
            return 0;
        } catch (Settings.InvalidSettingsException e) {
            System.err.println("saltdale: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            System.err.println("saltdale: " + e.getMessage());
            return 1;
        }
    }
}
