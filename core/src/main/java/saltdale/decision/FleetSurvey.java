package saltdale.decision;

import static saltdale.model.Durations.seconds;

import java.time.Duration;
import java.util.List;
import saltdale.model.DecayingSum;
import saltdale.model.DispatcherSettings;
import saltdale.model.Runner;

/** What one dispatcher sees of all its runners together, counted at most once for one moment. */
final class FleetSurvey {
    /** Work done by warm runners. */
    final DecayingSum warmWorkDone = new DecayingSum();
    /** How many are ready, and how many of those are set aside. */
    double readyCount;

    double ejectedCount;
    /** What a warm runner does for us, in seconds of work a second, and what of ours each known one holds. */
    double warmWorkRate;

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
