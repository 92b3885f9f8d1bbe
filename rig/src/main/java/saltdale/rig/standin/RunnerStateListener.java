package saltdale.rig.standin;

import java.time.Duration;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.judge.EventObserver.ListedHealth;

/** Receives the changes of runners and of links that concern the runner list. Called on the event loop. */
public interface RunnerStateListener {
    /**
     * A runner's listed health has changed.
     *
     * @param startedAt when its process started; null if it has been running for long
     */
    void runnerChanged(int runner, ListedHealth health, Duration startedAt);

    /** Sets the condition of the link between the list and a dispatcher. */
    void linkChanged(int dispatcher, LinkCondition condition);

    /** Makes the list stop or resume responding. */
    void setSilent(boolean silent);
}
