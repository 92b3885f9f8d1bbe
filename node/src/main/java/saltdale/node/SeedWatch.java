package saltdale.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reloads the seed nodes from the settings file; they are the only setting that may change while a process runs. The
 * file is read again on SIGHUP, and periodically while there is no contact with the control plane, because all control
 * nodes may have been replaced.
 */
final class SeedWatch {
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(3);

    private final EventLoopEnvironment environment;
    private final BooleanSupplier isInContact;
    private final Consumer<List<String>> onSeedsChanged;
    private Settings settings;

    /** Passes the hosts of the seed nodes to {@code onSeedsChanged} whenever the file names other ones than before. */
    SeedWatch(
            EventLoopEnvironment environment,
            Settings settings,
            BooleanSupplier isInContact,
            Consumer<List<String>> onSeedsChanged) {
        this.environment = environment;
        this.settings = settings;
        this.isInContact = isInContact;
        this.onSeedsChanged = onSeedsChanged;
    }

    /** Starts the periodic check for contact; must be called on the event loop. */
    void start() {
        environment.loop.schedule(CHECK_INTERVAL, () -> {
            start(); // even if this check fails
            if (!isInContact.getAsBoolean()) {
                reload();
            }
        });
    }

    /** Reloads the file. An invalid file is logged and changes nothing. Must be called on the event loop. */
    void reload() {
        try {
            Settings reloaded = settings.reload();
            if (!reloaded.seedHosts.equals(settings.seedHosts)) {
                environment.log("seed nodes changed in the settings: " + reloaded.seedHosts);
                onSeedsChanged.accept(reloaded.seedHosts);
            }
            settings = reloaded;
        } catch (Settings.InvalidSettingsException e) {
            environment.log("settings were not reloaded: " + e.getMessage());
        }
    }
}
