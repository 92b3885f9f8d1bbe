package saltdale.decision;

import java.time.Duration;
import saltdale.model.Fading;
import saltdale.overload.Levels;

/** What one dispatcher has seen of one workload. */
final class WorkloadStats {
    /** The mean size in seconds, over how many that were hinted, else have ended. */
    double usual;

    double ended;
    /** Work that runners were picked for. */
    final Fading sought = new Fading();
    /** The longest a client has come with: that of a first try. */
    Duration patience = Duration.ZERO;
    /** Among the others, where overloads are met by levels: its first tries and its marked repeats. */
    final Levels.Kind kind;

    final Levels.Kind again;

    WorkloadStats(Levels levels) {
        kind = levels == null ? null : levels.add();
        again = levels == null ? null : levels.add();
    }

    void saw(double size) {
        usual += (size - usual) / Math.min(++ended, 99);
    }

    /** The mean size; a second until one is known. */
    double unit() {
        return ended == 0 ? 1 : usual;
    }
}
