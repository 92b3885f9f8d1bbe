package saltdale.sim;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.decision.Dispatcher;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.Door;
import saltdale.model.Keys;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Runner;
import saltdale.model.Sighting;
import saltdale.model.StandingOrders;
import saltdale.model.Tenant;
import saltdale.model.Workload;
import saltdale.orders.Fields;
import saltdale.orders.OrdersReader;
import saltdale.orders.Reports;

/** One dispatcher on the wire: turns its events into calls, ids into objects, and its actions into messages. */
final class Instance implements Door {
    static final Set<String> EVENTS = Set.of(
            "PowerOn",
            "Update",
            "NewRequest",
            "PowerOff",
            "HintUpdate",
            "TimedOutClient",
            "Peer",
            "AttemptEnd",
            "Streaming",
            "Ring",
            "CheckResult");
    private static final int HINT_VALID = 1;
    private static final int REPEATED = 2;
    private static final Outcome[] OUTCOMES = {
        Outcome.ERROR,
        Outcome.FULFILLED,
        Outcome.TURNED_AWAY,
        Outcome.TIMED_OUT,
        Outcome.NOT_CONNECTED,
        Outcome.BROKEN,
        Outcome.CANCELLED,
        Outcome.NEVER_SENT
    };

    private final long who;
    private final long origin;
    private final Map<String, Workload> workloads = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final List<String> columns = new ArrayList<>();
    private final Map<String, Runner> runners = new HashMap<>();
    private final Map<Runner, String> addresses = new HashMap<>();
    private final Map<String, Assignment> assignments = new HashMap<>();
    private final Map<Assignment, String> ids = new HashMap<>();
    private final Map<Long, Object> timers = new HashMap<>();
    private long nextTimer;
    private final Dispatcher dispatcher;
    private JsonGenerator reply;
    private Duration now;

    Instance(long who, long clock, Fields powerOn) {
        this.who = who;
        this.origin = clock;
        Fields options = powerOn.object(3, "Options");
        StandingOrders orders = OrdersReader.read(options);
        for (Workload workload : orders.workloads) {
            workloads.put(workload.name, workload);
        }
        for (Tenant tenant : orders.tenants) {
            tenants.put(tenant.name, tenant);
        }
        for (JsonNode column : options.object("LoadReport").array("Columns")) {
            columns.add(column.asText());
        }
        dispatcher = new Dispatcher(orders, this, new SplittableRandom(powerOn.bits(2, "Nonce64")));
    }

    /** Sets the clock and the reply of the batch being answered. */
    void at(long clock, JsonGenerator batchReply) {
        now = Fields.micros(clock - origin);
        reply = batchReply;
    }

    void settle() {
        dispatcher.settle(now);
    }

    void handle(String name, Fields event) {
        switch (name) {
            case "PowerOn" -> dispatcher.began(now);
            case "Update" -> update(event);
            case "NewRequest" -> arrived(event);
            case "AttemptEnd" -> ended(event);
            case "HintUpdate" -> heard(event);
            case "Streaming" -> {
                Dispatch dispatch = dispatchOf(event);
                if (dispatch != null) {
                    dispatcher.streaming(now, dispatch);
                }
            }
            case "CheckResult" -> {
                Outcome outcome = outcome(event, 3);
                dispatcher.probed(
                        now,
                        runner(event, 2),
                        outcome == Outcome.FULFILLED,
                        Fields.micros(event.whole(4, "DelaySeen", 0)),
                        report(event, 5));
            }
            case "TimedOutClient" -> {
                Assignment assignment = assignments.get(event.text(2, "Tid"));
                if (assignment != null) {
                    dispatcher.close(assignment);
                    forgetIfOver(assignment);
                }
            }
            case "Ring" -> {
                Object what = timers.remove(event.whole(2, "Token"));
                if (what != null) {
                    dispatcher.woken(now, what);
                }
            }
            case "Peer" -> {
                event.whole(2, "Author");
                event.text(3, "Bytes", ""); // messages between dispatchers carry nothing yet
            }
            default -> throw new IllegalStateException(name);
        }
    }

    private void update(Fields event) {
        int how = (int) event.whole(2, "How");
        if (how < 0 || how > 3) {
            throw event.wrong("How", "one of 0 to 3");
        }
        if (how == 3) {
            dispatcher.listFailed(now);
            return;
        }
        List<Sighting> sightings = new ArrayList<>();
        JsonNode records = event.array(4, "Records");
        if (records != null) {
            for (JsonNode record : records) {
                if (!record.isArray()) {
                    throw event.wrong("Records", "an array of arrays");
                }
                sightings.add(sighting(new Fields("Update.Records", record)));
            }
        }
        dispatcher.listed(now, sightings, how != 0, how == 2);
    }

    private Sighting sighting(Fields entry) {
        String address = entry.text(4, "Runner");
        Runner runner = runners.get(address);
        if (runner == null) {
            runner = new Runner();
            runner.hash = Keys.of(address);
            runners.put(address, runner);
            addresses.put(runner, address);
        }
        Runner.Mode mode = switch ((int) entry.whole(3, "Mode")) {
            case 0 -> Runner.Mode.DRAINING;
            case 2 -> Runner.Mode.READY;
            case 3 -> Runner.Mode.GONE;
            default -> throw entry.wrong("Mode", "one of 0, 2 and 3");
        };
        long startedAt = entry.whole(6, "StartedAt", 0);
        return new Sighting(
                runner,
                entry.text(0, "ClassOfHost", ""),
                entry.text(1, "Zone", ""),
                entry.number(2, "PowerHint", 1),
                mode,
                (int) entry.whole(5, "Pod", 0),
                startedAt == 0 ? null : Fields.micros(startedAt - origin));
    }

    private void arrived(Fields event) {
        String id = event.text(2, "Tid");
        Workload workload = workloads.get(event.text(3, "TierClass"));
        if (workload == null) {
            throw event.wrong("TierClass", "a workload of the settings");
        }
        Assignment assignment = new Assignment(workload, now, Fields.micros(event.whole(6, "TimeBudget")));
        JsonNode billing = event.raw(4);
        assignment.tenant = billing != null && billing.isTextual() ? tenants.get(billing.textValue()) : null;
        long flags = event.whole(10, "Opts", 0);
        long hint = event.whole(7, "WeightHint", 0);
        assignment.hint = (flags & HINT_VALID) != 0 && hint > 0 ? Fields.micros(hint) : null;
        assignment.slots = event.number(8, "Slots", 1);
        assignment.memory = event.number(9, "Mem", 0);
        JsonNode key = event.raw(5);
        assignment.key = key != null && key.isTextual() ? Keys.of(key.textValue()) : 0;
        assignment.repeated = (flags & REPEATED) != 0;
        assignments.put(id, assignment);
        ids.put(assignment, id);
        dispatcher.arrived(now, assignment);
    }

    private void ended(Fields event) {
        Dispatch dispatch = dispatchOf(event);
        if (dispatch == null) {
            return;
        }
        Outcome outcome = outcome(event, 5);
        dispatcher.ended(now, dispatch, outcome, event.flag(7, "Terminal"), report(event, 9));
        forgetIfOver(dispatch.assignment);
    }

    private void heard(Fields event) {
        Dispatch dispatch = dispatchOf(event);
        if (dispatch == null) {
            return;
        }
        long sort = event.whole(5, "Sort");
        if (sort == 1) {
            dispatcher.started(now, dispatch);
        } else if (sort == 2) {
            dispatcher.progressed(now, dispatch);
        }
    }

    private Dispatch dispatchOf(Fields event) {
        Assignment assignment = assignments.get(event.text(2, "Tid"));
        int number = (int) event.whole(3, "SendNo");
        if (assignment == null) {
            return null;
        }
        if (number < 0 || number >= assignment.dispatches.size()) {
            throw event.wrong("SendNo", "the number of a dispatch that was made");
        }
        return assignment.dispatches.get(number);
    }

    private Runner runner(Fields event, int i) {
        Runner runner = runners.get(event.text(i, "Runner"));
        if (runner == null) {
            throw event.wrong("Runner", "a runner of any list");
        }
        return runner;
    }

    private static Outcome outcome(Fields event, int i) {
        long status = event.whole(i, "Status");
        if (status < 0 || status >= OUTCOMES.length) {
            throw event.wrong("Status", "one of 0 to 7");
        }
        return OUTCOMES[(int) status];
    }

    private LoadReport report(Fields event, int i) {
        JsonNode row = event.array(i, "HealthInfo");
        if (row == null) {
            return null;
        }
        return Reports.of(column -> value(event, row, column));
    }

    private double value(Fields event, JsonNode row, String column) {
        int i = columns.indexOf(column);
        JsonNode value = i < 0 ? null : row.get(i);
        if (value == null || value.isNull()) {
            return Double.NaN;
        }
        if (!value.isNumber()) {
            throw event.wrong("HealthInfo." + column, "a number");
        }
        return value.doubleValue();
    }

    private void forgetIfOver(Assignment assignment) {
        if (!assignment.isOver()) {
            return;
        }
        String id = ids.remove(assignment);
        if (id != null) {
            assignments.remove(id);
        }
    }

    // The door.

    /** What a message does to the reply; the stream below may fail. */
    private interface Writing {
        void on(JsonGenerator reply) throws IOException;
    }

    private void write(String action, Writing values) {
        try {
            reply.writeStartArray();
            reply.writeString(action);
            reply.writeNumber(who);
            values.on(reply);
            reply.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long micros(Duration span) {
        return span == null ? 0 : Math.floorDiv(span.toNanos(), 1000L);
    }

    @Override
    public void dispatch(Dispatch dispatch, Duration timeOut) {
        write("CallOut", to -> {
            to.writeString(ids.get(dispatch.assignment));
            to.writeString(addresses.get(dispatch.runner));
            to.writeNumber(micros(timeOut));
        });
    }

    @Override
    public void cancel(Dispatch dispatch) {
        write("AbortAttempt", to -> {
            to.writeString(ids.get(dispatch.assignment));
            to.writeNumber(dispatch.assignment.dispatches.indexOf(dispatch));
        });
    }

    @Override
    public void shed(Assignment assignment, Duration pause) {
        write("Reject", to -> {
            to.writeString(ids.get(assignment));
            to.writeNumber(micros(pause));
        });
        forgetIfOver(assignment);
    }

    @Override
    public void giveUp(Assignment assignment) {
        write("Abort", to -> to.writeString(ids.get(assignment)));
        forgetIfOver(assignment);
    }

    @Override
    public void probe(Runner runner) {
        write("AskLoad", to -> to.writeString(addresses.get(runner)));
    }

    @Override
    public void wake(Duration after, Object what) {
        long token = nextTimer++;
        timers.put(token, what);
        write("Remind", to -> {
            to.writeNumber(Math.max(0, micros(after)));
            to.writeNumber(token);
        });
    }

    @Override
    public void subscribe(boolean on) {
        write("Track", to -> to.writeBoolean(on));
    }

    @Override
    public void readList() {
        write("ReadList", to -> {});
    }

    @Override
    public void closeIdle(Runner runner) {
        write("ShutIdle", to -> to.writeString(addresses.get(runner)));
    }

    @Override
    public void tell(int dispatcher, String message) {
        write("Notify", to -> {
            to.writeNumber(dispatcher);
            to.writeString(message);
        });
    }

    @Override
    public void report(String line) {
        write("Emit", to -> to.writeString(line));
    }
}
