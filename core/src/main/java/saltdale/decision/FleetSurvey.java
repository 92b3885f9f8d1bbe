package saltdale.decision;

import static saltdale.model.Durations.seconds;

import java.time.Duration;
import java.util.List;
import saltdale.model.DecayingSum;
import saltdale.model.DispatcherSettings;
import saltdale.model.Runner;

/** Statistics over all runners of one dispatcher, computed at most once per point in time. */
final class FleetSurvey {
    /** Work completed by warm runners, in slot seconds. */
    final DecayingSum warmWorkDone = new DecayingSum();
    /** The number of ready runners. */
    double readyCount;

    /** The number of ready runners that are ejected for their failures. */
    double ejectedCount;
    /** Slot seconds of work that a warm runner completes for this dispatcher per second. */
    double warmWorkRate;

    /** The mean number of this dispatcher's attempts in flight on a runner that it has contacted. */
    double meanInFlight;

    private final DispatcherSettings settings;
    private final List<Runner> runners;
    private final Duration timeConstant;
    private Duration updatedAt;

    FleetSurvey(DispatcherSettings settings, List<Runner> runners, Duration timeConstant) {
        this.settings = settings;
        this.runners = runners;
        this.timeConstant = timeConstant;
    }

    void update(Duration now) {
        if (now.equals(updatedAt)) {
            return;
        }
        updatedAt = now;
        List<Runner> ready = runners.stream().filter(Runner::isReady).toList();
        this.readyCount = ready.size();
        long warm = ready.stream()
                .filter(runner -> settings.warmth(now, runner) >= 1)
                .count();
        warmWorkRate =
                warm == 0 ? warmWorkRate : warmWorkDone.valueAt(now, timeConstant) / seconds(timeConstant) / warm;
        meanInFlight = ready.stream()
                .filter(runner -> runner.contacted)
                .mapToInt(runner -> runner.inFlight.size())
                .average()
                .orElse(0);
        ejectedCount =
                ready.stream().filter(runner -> runner.trialInterval != null).count();
    }
}
