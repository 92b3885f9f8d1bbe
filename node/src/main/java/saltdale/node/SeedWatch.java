package saltdale.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the settings file again for the seeds, the only setting that may change while a process runs: at SIGHUP, and
 * now and then as long as there is no contact with the control plane, whose nodes may all have been replaced.
 */
final class SeedWatch {
    private static final Duration EVERY = Duration.ofSeconds(3);

    private final EventLoopEnvironment environment;
    private final BooleanSupplier isInContact;
    private final Consumer<List<String>> seeds;
    private Settings settings;

    /** {@code seeds}: told the hosts that the file names, where these have changed. */
    SeedWatch(
            EventLoopEnvironment environment,
            Settings settings,
            BooleanSupplier isInContact,
            Consumer<List<String>> seeds) {
        this.environment = environment;
        this.settings = settings;
        this.isInContact = isInContact;
        this.seeds = seeds;
    }

    /** Looks after contact from now on; to be called on the loop. */
    void begin() {
        environment.loop.schedule(EVERY, () -> {
            if (!isInContact.getAsBoolean()) {
                read();
            }
            begin();
        });
    }

    /** Reads the file; one that is wrong is noted and changes nothing. To be called on the loop. */
    void read() {
        try {
            Settings now = settings.readAgain();
            if (!now.seeds.equals(settings.seeds)) {
                environment.log("the settings name other seeds: " + now.seeds);
                seeds.accept(now.seeds);
            }
            settings = now;
        } catch (Settings.Wrong e) {
            environment.log("the settings are not read again: " + e.getMessage());
        }
    }
}
