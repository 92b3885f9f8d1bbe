package saltdale.tools;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import saltdale.rig.plan.InvalidInputException;

/**
 * The command line of the tools. Exit status: 0 done, 1 a verdict failed, 2 wrong usage or an
 * unusable file.
 */
@Command(
        name = "saltdale",
        mixinStandardHelpOptions = true,
        version = "saltdale 0.1.0-SNAPSHOT",
        description = "A dispatcher, and the test rig that measures it.",
        footer = {"", "serve and simhost are the dispatcher itself: see README.md."},
        subcommands = {
            Try.class,
            Experimenting.class,
            Simulate.class,
            StandIn.class,
            StandInNodes.class,
            Register.class,
            MeasureNodes.class,
            Load.class,
            Prove.class,
            Cost.class,
            Ceiling.class,
            Check.class,
            Reporting.class,
            Platform.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main implements Callable<Integer> {
    @Option(
            names = "--log",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            paramLabel = "text|json",
            description = "How log lines are written to standard error (default: text).")
    void log(String format) {
        if (!format.equals("text") && !format.equals("json")) {
            throw new CommandLine.ParameterException(new CommandLine(this), "--log: expected text or json");
        }
        Logging.format(format);
    }

    /** The checkout whose build is run. */
    static Path home() {
        return Path.of(System.getProperty("saltdale.home", "")).toAbsolutePath();
    }

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((failure, command, parsed) -> {
            if (failure instanceof InvalidInputException) {
                command.getErr().println("saltdale: " + failure.getMessage());
                return 2;
            } else if (failure instanceof IOException || failure instanceof UncheckedIOException) {
                command.getErr().println("saltdale: " + failure.getMessage());
                return 1;
            }
            throw failure;
        });
        return line;
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return 2;
    }
}
