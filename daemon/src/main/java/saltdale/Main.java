package saltdale;

import java.io.IOException;
import saltdale.program.Serve;
import saltdale.settings.MalformedInputException;
import saltdale.sim.SimHost;

/** The command line: one subcommand for each way in which the decisions are served. */
public final class Main {
    private static final String USAGE = """
            usage: saltdale serve
                   saltdale simhost

              serve     serve as one dispatcher on sockets, as EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
                        EDGE_CONFIG say
              simhost   host dispatchers on the simulator's wire: batches on standard input, replies on
                        standard output""";

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            return Serve.run(System.getenv(), System.err);
        }
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println(USAGE);
            return 2;
        }
        try {
            new SimHost(System.in, System.out).run();
            return 0;
        } catch (MalformedInputException e) {
            System.err.println("saltdale: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("saltdale: standard input or output failed: " + e.getMessage());
        }
        return 1;
    }
}
