package saltdale.node;

import java.io.IOException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import sun.misc.Signal;

/** The one program of the platform: {@code proxy} carries calls, {@code control} holds the state. */
public final class Main {
    private static final String TRAINING = "train-archive";

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** The exit status: 0 after an end in order, 2 for a wrong command line or setting, 1 for anything else. */
    static int run(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("saltdale")
                .build()
                .description("The front for functions and their scaler. Settings: the JSON file that "
                        + Settings.VARIABLE + " names.");
        parser.addArgument("role")
                .choices("proxy", "control", TRAINING)
                .help("proxy: carries requests; control: holds the state, takes the operators' calls, starts and stops "
                        + "instances; " + TRAINING + ": runs both for a moment on loopback, without settings, for a "
                        + "class-data archive (-XX:ArchiveClassesAtExit)");
        parser.addArgument("--trace")
                .action(Arguments.storeTrue())
                .help("write every note on standard error at once, not only when something goes wrong");
        Namespace words;
        try {
            words = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return args.length == 1 && args[0].matches("-h|--help") ? 0 : 2;
        }
        if (words.getBoolean("trace")) {
            LogRing.traced();
        }
        String role = words.getString("role");
        try {
            if (role.equals(TRAINING)) {
                ClassArchiveTraining.run();
                return 0;
            }
            Settings settings = Settings.read(System.getenv(Settings.VARIABLE));
            NodeProcess process = role.equals("proxy") ? new ProxyProcess(settings) : new ControlProcess(settings);
            for (String signal : new String[] {"TERM", "INT"}) {
                Signal.handle(new Signal(signal), which -> process.end());
            }
            Signal.handle(new Signal("HUP"), which -> process.reload());
            process.run();
            return 0;
        } catch (Settings.Wrong e) {
            System.err.println("saltdale: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            System.err.println("saltdale: " + e.getMessage());
            return 1;
        }
    }
}
