package saltdale.rig.simulate;

import saltdale.model.Runner;

/** What no dispatcher has: a look at all runners at once, as late as their reports are. For baselines alone. */
interface RunnerLoadView {
    /** How many jobs it holds; infinite where it is down. */
    double held(Runner runner);
}
