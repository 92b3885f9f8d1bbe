package saltdale.tools;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import saltdale.protocol.HttpParser;
import saltdale.rig.experiment.Run;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.load.Generator;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;
import saltdale.transport.Connection;
import saltdale.transport.Listener;

@Command(
        name = "ceiling",
        mixinStandardHelpOptions = true,
        description = "Measures how many jobs/s the load generator sends on time, to a stand-in that answers at once.")
final class Ceiling implements Callable<Integer> {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    @Override
    public Integer call() throws IOException, InterruptedException {
        int highestRate = 0;
        for (int rate = 1000; rate < 1_000_000; rate = rate * 5 / 4) {
            String fault = play(rate);
            System.out.printf("%8d jobs/s: %s%n", rate, fault == null ? "on time" : fault);
            if (fault != null) {
                break;
            }
            highestRate = rate;
        }
        System.out.printf(Locale.ROOT, "the load sends %d jobs/s on time%n", highestRate);
        return 0;
    }

    private static String play(int rate) throws IOException, InterruptedException {
        Scenario day = new Scenario(TomlTable.of(
                "ceiling",
                "length = \"4s\"\nwarm_up = \"2s\"\n[load]\nrate = " + rate + "\n[[workload]]\nname = \"w\"\n"));
        Origin origin = new Origin();
        LoopbackAddresses addresses = new LoopbackAddresses(7411);
        try (LoopThread server = new LoopThread("stand-in");
                LoopThread clients = new LoopThread("clients")) {
            Listener listener = new Listener(
                    server.loop,
                    server.sockets,
                    addresses.dispatcher(0),
                    (connection, full) -> connection.setHandler(new ImmediateResponder(connection)));
            server.start();
            clients.start();
            Duration start = origin.now();
            Generator generator = new Generator(
                    clients, day, List.of(addresses.dispatcher(0)), origin, EventObserver.NONE, 1, "c" + rate, start);
            clients.runAndWait(() -> generator.start(Run.clientRequests(day, Path.of("."), start)));
            Duration giveUpAt = start.plus(day.length).plusSeconds(4);
            while (!generator.isOver() && origin.now().compareTo(giveUpAt) < 0) {
                Thread.sleep(20);
            }
            server.runAndWait(() -> {
                try {
                    listener.close();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            return generator.voidReason();
        }
    }

    private static final class ImmediateResponder implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);

        ImmediateResponder(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            if (parser.isComplete()) {
                parser.startNextMessage();
                connection.send(ByteBuffer.wrap(RESPONSE));
            }
        }

        @Override
        public void disconnected(String cause) {
            // the client has closed the connection
        }
    }
}
