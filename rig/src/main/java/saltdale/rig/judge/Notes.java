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
public final class Notes implements Witness {
    private record Note(Duration at, Consumer<Witness> what) {}

    private final Queue<Note> notes = new ConcurrentLinkedQueue<>();

    private void note(Duration at, Consumer<Witness> what) {
        notes.add(new Note(at, what));
    }

    /**
     * Tells all of it, in the order of time; what bears one time keeps the order in which it was written
     * down.
     */
    public void tell(Witness to) {
        List<Note> all = new ArrayList<>(notes);
        all.sort(Comparator.comparing(Note::at));
        all.forEach(each -> each.what.accept(to));
    }

    @Override
    public void asked(Duration at, String id, Workload workload, int dispatcher, Duration patience) {
        note(at, w -> w.asked(at, id, workload, dispatcher, patience));
    }

    @Override
    public void answered(Duration at, String id, Final how, String result) {
        note(at, w -> w.answered(at, id, how, result));
    }

    @Override
    public void cut(Duration at, String id) {
        note(at, w -> w.cut(at, id));
    }

    @Override
    public void turnedOff(Duration at, String id) {
        note(at, w -> w.turnedOff(at, id));
    }

    @Override
    public void left(Duration at, String id) {
        note(at, w -> w.left(at, id));
    }

    @Override
    public void killed(Duration at, int dispatcher) {
        note(at, w -> w.killed(at, dispatcher));
    }

    @Override
    public void stopped(Duration at, int dispatcher) {
        note(at, w -> w.stopped(at, dispatcher));
    }

    @Override
    public void wentOn(Duration at, int dispatcher) {
        note(at, w -> w.wentOn(at, dispatcher));
    }

    @Override
    public void way(Duration at, int runner, int dispatcher, boolean free) {
        note(at, w -> w.way(at, runner, dispatcher, free));
    }

    @Override
    public void reached(Duration firstByte, Duration at, String id, int runner, int dispatcher, double work) {
        note(at, w -> w.reached(firstByte, at, id, runner, dispatcher, work));
    }

    @Override
    public void unstarted(Duration at, String id, int runner) {
        note(at, w -> w.unstarted(at, id, runner));
    }

    @Override
    public void over(Duration at, String id, int runner) {
        note(at, w -> w.over(at, id, runner));
    }

    @Override
    public void effect(Duration at, String id, int runner, String result) {
        note(at, w -> w.effect(at, id, runner, result));
    }

    @Override
    public void made(Duration at, String id, String result) {
        note(at, w -> w.made(at, id, result));
    }

    @Override
    public void silent(Duration at, int runner) {
        note(at, w -> w.silent(at, runner));
    }

    @Override
    public void started(Duration at, int runner, Make make) {
        note(at, w -> w.started(at, runner, make));
    }

    @Override
    public void told(Duration at, int dispatcher, int runner, Health health, Duration bornAt) {
        note(at, w -> w.told(at, dispatcher, runner, health, bornAt));
    }
}
