package saltdale.rig.standin;

import java.time.Duration;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.judge.EventObserver.ListedHealth;

/** Who comes to know of changes among the runners; called on the loop. */
public interface RunnerStateListener {
    /** {@code bornAt} null: it has run for long. */
    void runnerChanged(int runner, ListedHealth health, Duration bornAt);

    /** This is how its way to this dispatcher is from now on. */
    void linkChanged(int dispatcher, LinkCondition next);

    /** It falls silent, or speaks again. */
    void setSilent(boolean silent);
}
