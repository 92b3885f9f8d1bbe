package saltdale.rig.simulate;

import saltdale.model.Runner;

/**
 * The load of all runners, as old as their reports. No real dispatcher has this information; it is for baselines only.
 */
interface RunnerLoadView {
    /** The number of jobs that the runner holds; infinite if it is down. */
    double heldJobs(Runner runner);
}
