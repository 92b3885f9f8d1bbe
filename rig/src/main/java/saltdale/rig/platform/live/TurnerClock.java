package saltdale.rig.platform.live;

import java.time.Duration;
import saltdale.rig.platform.Clock;
import saltdale.rig.standin.Origin;
import saltdale.rig.standin.Turner;

/** The time of a loop on a thread of its own. */
record TurnerClock(Turner turner, Origin origin) implements Clock {
    @Override
    public Duration now() {
        return origin.now();
    }

    @Override
    public void after(Duration span, Runnable what) {
        turner.loop.after(span, what);
    }
}
