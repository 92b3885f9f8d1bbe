package saltdale.rig.judge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import saltdale.model.Workload;
import saltdale.rig.plan.Make;

/**
 * Writes down what several threads see, each with its time, to be told to a judge in order once all is over.
 */
public final class EventRecorder implements EventObserver {
    private record Note(Duration at, Consumer<EventObserver> what) {}

    private final Queue<Note> notes = new ConcurrentLinkedQueue<>();

    private void note(Duration at, Consumer<EventObserver> what) {
        notes.add(new Note(at, what));
    }

    /**
     * Tells all of it, in the order of time; what bears one time keeps the order in which it was written
     * down.
     */
    public void replayTo(EventObserver to) {
        List<Note> all = new ArrayList<>(notes);
        all.sort(Comparator.comparing(Note::at));
        all.forEach(each -> each.what.accept(to));
    }

    @Override
    public void requestSent(Duration at, String id, Workload workload, int dispatcher, Duration patience) {
        note(at, w -> w.requestSent(at, id, workload, dispatcher, patience));
    }

    @Override
    public void answerReceived(Duration at, String id, FinalAnswer how, String result) {
        note(at, w -> w.answerReceived(at, id, how, result));
    }

    @Override
    public void connectionLost(Duration at, String id) {
        note(at, w -> w.connectionLost(at, id));
    }

    @Override
    public void newConnectionClosed(Duration at, String id) {
        note(at, w -> w.newConnectionClosed(at, id));
    }

    @Override
    public void clientLeft(Duration at, String id) {
        note(at, w -> w.clientLeft(at, id));
    }

    @Override
    public void dispatcherKilled(Duration at, int dispatcher) {
        note(at, w -> w.dispatcherKilled(at, dispatcher));
    }

    @Override
    public void dispatcherPaused(Duration at, int dispatcher) {
        note(at, w -> w.dispatcherPaused(at, dispatcher));
    }

    @Override
    public void dispatcherResumed(Duration at, int dispatcher) {
        note(at, w -> w.dispatcherResumed(at, dispatcher));
    }

    @Override
    public void linkChanged(Duration at, int runner, int dispatcher, boolean free) {
        note(at, w -> w.linkChanged(at, runner, dispatcher, free));
    }

    @Override
    public void attemptReceived(Duration firstByte, Duration at, String id, int runner, int dispatcher, double work) {
        note(at, w -> w.attemptReceived(firstByte, at, id, runner, dispatcher, work));
    }

    @Override
    public void attemptNotStarted(Duration at, String id, int runner) {
        note(at, w -> w.attemptNotStarted(at, id, runner));
    }

    @Override
    public void attemptEnded(Duration at, String id, int runner) {
        note(at, w -> w.attemptEnded(at, id, runner));
    }

    @Override
    public void effectProduced(Duration at, String id, int runner, String result) {
        note(at, w -> w.effectProduced(at, id, runner, result));
    }

    @Override
    public void duplicateAnswered(Duration at, String id, String result) {
        note(at, w -> w.duplicateAnswered(at, id, result));
    }

    @Override
    public void runnerSilent(Duration at, int runner) {
        note(at, w -> w.runnerSilent(at, runner));
    }

    @Override
    public void runnerStarted(Duration at, int runner, Make make) {
        note(at, w -> w.runnerStarted(at, runner, make));
    }

    @Override
    public void listEntryReceived(Duration at, int dispatcher, int runner, ListedHealth health, Duration bornAt) {
        note(at, w -> w.listEntryReceived(at, dispatcher, runner, health, bornAt));
    }
}
