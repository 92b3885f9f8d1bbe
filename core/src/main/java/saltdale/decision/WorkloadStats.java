package saltdale.decision;

import java.time.Duration;
import saltdale.model.DecayingSum;
import saltdale.overload.AdmissionControl;

/** Statistics of one workload at one dispatcher. */
final class WorkloadStats {
    /** The mean run time in seconds, from hints where there are any, else from completed attempts. */
    double meanRunTime;

    /** The number of run times in the mean. */
    double sampleCount;
    /** Work for which a runner was searched, in slot seconds. */
    final DecayingSum searchedWork = new DecayingSum();
    /** The longest client timeout seen: that of a first try. */
    Duration maxClientTimeout = Duration.ZERO;
    /** The class of its first tries in admission control; null without overload settings. */
    final AdmissionControl.AdmissionClass firstTries;

    /** The class of its marked retries in admission control; null without overload settings. */
    final AdmissionControl.AdmissionClass retries;

    WorkloadStats(AdmissionControl admission) {
        firstTries = admission == null ? null : admission.addClass();
        retries = admission == null ? null : admission.addClass();
    }

    void addRunTime(double runTimeSeconds) {
        meanRunTime += (runTimeSeconds - meanRunTime) / Math.min(++sampleCount, 99);
    }

    /** The mean run time in seconds; 1 until one is known. */
    double runTimeOrDefault() {
        return sampleCount == 0 ? 1 : meanRunTime;
    }
}
