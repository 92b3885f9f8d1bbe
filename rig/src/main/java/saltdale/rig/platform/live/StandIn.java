package saltdale.rig.platform.live;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Platform;
import saltdale.rig.platform.Site;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;

/** The platform and its runners on loopback. */
public final class StandIn implements AutoCloseable {
    final LoopThread loopThread;
    final Origin origin = new Origin();
    final Site site;
    final Judge judge;
    final Faults faults;
    private final PrintWriter log;
    Platform platform;

    /** {@code calls}: a file that takes a line for each call of the platform; null for none. */
    public StandIn(Site site, Faults faults, long seed, Path calls) throws IOException {
        this.site = site;
        this.faults = faults;
        judge = new Judge(site.bounds());
        if (calls != null) {
            Files.createDirectories(calls.toAbsolutePath().getParent());
        }
        log = calls == null ? null : new PrintWriter(Files.newBufferedWriter(calls));
        loopThread = new LoopThread("platform");
        AtomicReference<IOException> failure = new AtomicReference<>();
        loopThread.start();
        loopThread.inside(() -> {
            try {
                platform = new Platform(
                        site,
                        new LoopClock(loopThread, origin),
                        new Runners(loopThread, origin, judge, faults, seed),
                        seed);
                loopThread.watchItself();
                new PlatformServer(loopThread, origin, site, platform, log);
            } catch (IOException e) {
                failure.set(e);
            }
        });
        if (failure.get() != null) {
            loopThread.close();
            throw new IOException(
                    site.platform() + " can't be listened at: " + failure.get().getMessage());
        }
    }

    /** Sends the first configuration, again and again until there is a clear answer. */
    public void operate(IntConsumer then) {
        loopThread.loop.execute(() -> new Operator(loopThread, site)
                .change("Replace", 0, site.replacement(1), answer -> then.accept(answer.status())));
    }

    @Override
    public void close() {
        loopThread.close();
        if (log != null) {
            log.close();
        }
    }
}
