package saltdale.rig.standin;

import java.time.Duration;
import saltdale.rig.judge.Witness.Health;

/** Who comes to know of changes among the runners; called on the loop. */
public interface ListWord {
    /** {@code bornAt} null: it has run for long. */
    void changed(int runner, Health health, Duration bornAt);

    /** It falls silent, or speaks again. */
    void mute(boolean wanted);
}
