package saltdale.rig.platform.live;

import java.time.Duration;
import saltdale.rig.platform.Clock;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;

/** A clock that schedules actions on a loop thread. */
record LoopClock(LoopThread loopThread, Origin origin) implements Clock {
    @Override
    public Duration now() {
        return origin.now();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        loopThread.loop.schedule(delay, action);
    }
}
