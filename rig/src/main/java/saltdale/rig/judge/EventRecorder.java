package saltdale.rig.judge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import saltdale.model.Workload;
import saltdale.rig.plan.RunnerType;

/** Records events of several threads, to replay them to a judge in time order after the run. Thread-safe. */
public final class EventRecorder implements EventObserver {
    private record RecordedEvent(Duration at, Consumer<EventObserver> delivery) {}

    private final Queue<RecordedEvent> events = new ConcurrentLinkedQueue<>();

    private void record(Duration at, Consumer<EventObserver> delivery) {
        events.add(new RecordedEvent(at, delivery));
    }

    /** Delivers all events in time order; events of the same time keep the order in which they were recorded. */
    public void replayTo(EventObserver observer) {
        List<RecordedEvent> inOrder = new ArrayList<>(events);
        inOrder.sort(Comparator.comparing(RecordedEvent::at));
        inOrder.forEach(event -> event.delivery.accept(observer));
    }

    @Override
    public void requestSent(Duration at, String id, Workload workload, int dispatcher, Duration clientTimeout) {
        record(at, observer -> observer.requestSent(at, id, workload, dispatcher, clientTimeout));
    }

    @Override
    public void answerReceived(Duration at, String id, FinalAnswer answer, String result) {
        record(at, observer -> observer.answerReceived(at, id, answer, result));
    }

    @Override
    public void connectionLost(Duration at, String id) {
        record(at, observer -> observer.connectionLost(at, id));
    }

    @Override
    public void newConnectionClosed(Duration at, String id) {
        record(at, observer -> observer.newConnectionClosed(at, id));
    }

    @Override
    public void clientLeft(Duration at, String id) {
        record(at, observer -> observer.clientLeft(at, id));
    }

    @Override
    public void dispatcherKilled(Duration at, int dispatcher) {
        record(at, observer -> observer.dispatcherKilled(at, dispatcher));
    }

    @Override
    public void dispatcherPaused(Duration at, int dispatcher) {
        record(at, observer -> observer.dispatcherPaused(at, dispatcher));
    }

    @Override
    public void dispatcherResumed(Duration earliest, Duration latest, int dispatcher) {
        record(earliest, observer -> observer.dispatcherResumed(earliest, latest, dispatcher));
    }

    @Override
    public void linkChanged(Duration at, int runner, int dispatcher, boolean clear) {
        record(at, observer -> observer.linkChanged(at, runner, dispatcher, clear));
    }

    @Override
    public void attemptReceived(
            Duration firstByteAt, Duration at, String id, int runner, int dispatcher, double workSeconds) {
        record(at, observer -> observer.attemptReceived(firstByteAt, at, id, runner, dispatcher, workSeconds));
    }

    @Override
    public void attemptNotStarted(Duration at, String id, int runner) {
        record(at, observer -> observer.attemptNotStarted(at, id, runner));
    }

    @Override
    public void attemptEnded(Duration at, String id, int runner) {
        record(at, observer -> observer.attemptEnded(at, id, runner));
    }

    @Override
    public void effectProduced(Duration at, String id, int runner, String result) {
        record(at, observer -> observer.effectProduced(at, id, runner, result));
    }

    @Override
    public void duplicateAnswered(Duration at, String id, String result) {
        record(at, observer -> observer.duplicateAnswered(at, id, result));
    }

    @Override
    public void runnerSilent(Duration at, int runner) {
        record(at, observer -> observer.runnerSilent(at, runner));
    }

    @Override
    public void runnerStarted(Duration at, int runner, RunnerType make) {
        record(at, observer -> observer.runnerStarted(at, runner, make));
    }

    @Override
    public void listEntryReceived(
            Duration at, int dispatcher, int runner, ListedHealth health, Duration runnerStartedAt) {
        record(at, observer -> observer.listEntryReceived(at, dispatcher, runner, health, runnerStartedAt));
    }
}
