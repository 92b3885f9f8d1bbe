package saltdale.rig.platform.live;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Platform;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;

/** A stand-in for the platform and its runners on loopback. */
public final class PlatformStandIn implements AutoCloseable {
    final LoopThread loopThread;
    final Origin origin = new Origin();
    final Deployment deployment;
    final Judge judge;
    final RunnerFaults faults;
    private final PrintWriter log;
    Platform platform;

    /**
     * Starts the stand-in.
     *
     * @param calls a file that gets a line for each call of the platform's API; null for none
     */
    public PlatformStandIn(Deployment deployment, RunnerFaults faults, long seed, Path calls) throws IOException {
        this.deployment = deployment;
        this.faults = faults;
        judge = new Judge(deployment.bounds());
        if (calls != null) {
            Files.createDirectories(calls.toAbsolutePath().getParent());
        }
        log = calls == null ? null : new PrintWriter(Files.newBufferedWriter(calls));
        loopThread = new LoopThread("platform");
        AtomicReference<IOException> failure = new AtomicReference<>();
        loopThread.start();
        loopThread.runAndWait(() -> {
            try {
                platform = new Platform(
                        deployment,
                        new LoopClock(loopThread, origin),
                        new RunnerSockets(loopThread, origin, judge, faults, seed),
                        seed);
                loopThread.monitorDelay();
                new PlatformServer(loopThread, origin, deployment, platform, log);
            } catch (IOException e) {
                failure.set(e);
            }
        });
        if (failure.get() != null) {
            loopThread.close();
            throw new IOException(deployment.platformAddress() + ": can't listen on this address: "
                    + failure.get().getMessage());
        }
    }

    /** Sends the first configuration until the answer is conclusive; {@code then} gets its status. */
    public void sendFirstConfiguration(IntConsumer then) {
        loopThread.loop.execute(() -> new Operator(loopThread, deployment)
                .change("Replace", 0, deployment.replacement(1), answer -> then.accept(answer.status())));
    }

    @Override
    public void close() {
        loopThread.close();
        if (log != null) {
            log.close();
        }
    }
}
