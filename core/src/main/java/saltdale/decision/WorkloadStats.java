package saltdale.decision;

import java.time.Duration;
import saltdale.model.DecayingSum;
import saltdale.overload.AdmissionControl;

/** What one dispatcher has seen of one workload. */
final class WorkloadStats {
    /** The mean size in seconds, over how many that were hinted, else have ended. */
    double meanRunTime;

    double sampleCount;
    /** Work that runners were picked for. */
    final DecayingSum searchedWork = new DecayingSum();
    /** The longest a client has come with: that of a first try. */
    Duration maxClientTimeout = Duration.ZERO;
    /** Among the others, where overloads are met by levels: its first tries and its marked repeats. */
    final AdmissionControl.AdmissionClass firstTries;

    final AdmissionControl.AdmissionClass retries;

    WorkloadStats(AdmissionControl admission) {
        firstTries = admission == null ? null : admission.addClass();
        retries = admission == null ? null : admission.addClass();
    }

    void addRunTime(double runTimeSeconds) {
        meanRunTime += (runTimeSeconds - meanRunTime) / Math.min(++sampleCount, 99);
    }

    /** The mean size; a second until one is known. */
    double runTimeOrDefault() {
        return sampleCount == 0 ? 1 : meanRunTime;
    }
}
