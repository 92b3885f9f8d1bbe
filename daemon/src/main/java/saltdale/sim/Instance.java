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
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.Keys;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.model.Tenant;
import saltdale.model.Workload;
import saltdale.settings.JsonFields;
import saltdale.settings.LoadReportColumns;
import saltdale.settings.SettingsReader;

/** One dispatcher on the wire: turns its events into calls, ids into objects, and its actions into messages. */
final class Instance implements DispatcherActions {
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
    private final Map<String, Request> assignments = new HashMap<>();
    private final Map<Request, String> ids = new HashMap<>();
    private final Map<Long, Object> timers = new HashMap<>();
    private long nextTimer;
    private final Dispatcher dispatcher;
    private JsonGenerator reply;
    private Duration now;

    Instance(long who, long clock, JsonFields powerOn) {
        this.who = who;
        this.origin = clock;
        JsonFields options = powerOn.object(3, "Options");
        DispatcherSettings orders = SettingsReader.read(options);
        for (Workload workload : orders.workloads) {
            workloads.put(workload.name, workload);
        }
        for (Tenant tenant : orders.tenants) {
            tenants.put(tenant.name, tenant);
        }
        for (JsonNode column : options.object("LoadReport").array("Columns")) {
            columns.add(column.asText());
        }
        dispatcher = new Dispatcher(orders, this, new SplittableRandom(powerOn.low64Bits(2, "Nonce64")));
    }

    /** Sets the clock and the reply of the batch being answered. */
    void at(long clock, JsonGenerator batchReply) {
        now = JsonFields.micros(clock - origin);
        reply = batchReply;
    }

    void settle() {
        dispatcher.applyActions(now);
    }

    void handle(String name, JsonFields event) {
        switch (name) {
            case "PowerOn" -> dispatcher.onStart(now);
            case "Update" -> update(event);
            case "NewRequest" -> arrived(event);
            case "AttemptEnd" -> ended(event);
            case "HintUpdate" -> heard(event);
            case "Streaming" -> {
                Attempt dispatch = dispatchOf(event);
                if (dispatch != null) {
                    dispatcher.onStreaming(now, dispatch);
                }
            }
            case "CheckResult" -> {
                Outcome outcome = outcome(event, 3);
                dispatcher.onProbeResult(
                        now,
                        runner(event, 2),
                        outcome == Outcome.FULFILLED,
                        JsonFields.micros(event.integer(4, "DelaySeen", 0)),
                        report(event, 5));
            }
            case "TimedOutClient" -> {
                Request assignment = assignments.get(event.string(2, "Tid"));
                if (assignment != null) {
                    dispatcher.close(assignment);
                    forgetIfOver(assignment);
                }
            }
            case "Ring" -> {
                Object what = timers.remove(event.integer(2, "Token"));
                if (what != null) {
                    dispatcher.onTimer(now, what);
                }
            }
            case "Peer" -> {
                event.integer(2, "Author");
                event.string(3, "Bytes", ""); // messages between dispatchers carry nothing yet
            }
            default -> throw new IllegalStateException(name);
        }
    }

    private void update(JsonFields event) {
        int how = (int) event.integer(2, "How");
        if (how < 0 || how > 3) {
            throw event.invalid("How", "one of 0 to 3");
        }
        if (how == 3) {
            dispatcher.onRunnerListFailure(now);
            return;
        }
        List<RunnerListEntry> sightings = new ArrayList<>();
        JsonNode records = event.array(4, "Records");
        if (records != null) {
            for (JsonNode record : records) {
                if (!record.isArray()) {
                    throw event.invalid("Records", "an array of arrays");
                }
                sightings.add(sighting(new JsonFields("Update.Records", record)));
            }
        }
        dispatcher.onRunnerList(now, sightings, how != 0, how == 2);
    }

    private RunnerListEntry sighting(JsonFields entry) {
        String address = entry.string(4, "Runner");
        Runner runner = runners.get(address);
        if (runner == null) {
            runner = new Runner();
            runner.hash = Keys.hash(address);
            runners.put(address, runner);
            addresses.put(runner, address);
        }
        Runner.Mode mode = switch ((int) entry.integer(3, "Mode")) {
            case 0 -> Runner.Mode.DRAINING;
            case 2 -> Runner.Mode.READY;
            case 3 -> Runner.Mode.GONE;
            default -> throw entry.invalid("Mode", "one of 0, 2 and 3");
        };
        long startedAt = entry.integer(6, "StartedAt", 0);
        return new RunnerListEntry(
                runner,
                entry.string(0, "ClassOfHost", ""),
                entry.string(1, "Zone", ""),
                entry.number(2, "PowerHint", 1),
                mode,
                (int) entry.integer(5, "Pod", 0),
                startedAt == 0 ? null : JsonFields.micros(startedAt - origin));
    }

    private void arrived(JsonFields event) {
        String id = event.string(2, "Tid");
        Workload workload = workloads.get(event.string(3, "TierClass"));
        if (workload == null) {
            throw event.invalid("TierClass", "a workload of the settings");
        }
        Request assignment = new Request(workload, now, JsonFields.micros(event.integer(6, "TimeBudget")));
        JsonNode billing = event.raw(4);
        assignment.tenant = billing != null && billing.isTextual() ? tenants.get(billing.textValue()) : null;
        long flags = event.integer(10, "Opts", 0);
        long hint = event.integer(7, "WeightHint", 0);
        assignment.runTimeHint = (flags & HINT_VALID) != 0 && hint > 0 ? JsonFields.micros(hint) : null;
        assignment.slots = event.number(8, "Slots", 1);
        assignment.memory = event.number(9, "Mem", 0);
        JsonNode key = event.raw(5);
        assignment.affinityKey = key != null && key.isTextual() ? Keys.hash(key.textValue()) : 0;
        assignment.markedAsRetry = (flags & REPEATED) != 0;
        assignments.put(id, assignment);
        ids.put(assignment, id);
        dispatcher.onRequest(now, assignment);
    }

    private void ended(JsonFields event) {
        Attempt dispatch = dispatchOf(event);
        if (dispatch == null) {
            return;
        }
        Outcome outcome = outcome(event, 5);
        dispatcher.onAttemptEnd(now, dispatch, outcome, event.bool(7, "Terminal"), report(event, 9));
        forgetIfOver(dispatch.request);
    }

    private void heard(JsonFields event) {
        Attempt dispatch = dispatchOf(event);
        if (dispatch == null) {
            return;
        }
        long sort = event.integer(5, "Sort");
        if (sort == 1) {
            dispatcher.onStarted(now, dispatch);
        } else if (sort == 2) {
            dispatcher.onProgress(now, dispatch);
        }
    }

    private Attempt dispatchOf(JsonFields event) {
        Request assignment = assignments.get(event.string(2, "Tid"));
        int number = (int) event.integer(3, "SendNo");
        if (assignment == null) {
            return null;
        }
        if (number < 0 || number >= assignment.attempts.size()) {
            throw event.invalid("SendNo", "the number of a dispatch that was made");
        }
        return assignment.attempts.get(number);
    }

    private Runner runner(JsonFields event, int i) {
        Runner runner = runners.get(event.string(i, "Runner"));
        if (runner == null) {
            throw event.invalid("Runner", "a runner of any list");
        }
        return runner;
    }

    private static Outcome outcome(JsonFields event, int i) {
        long status = event.integer(i, "Status");
        if (status < 0 || status >= OUTCOMES.length) {
            throw event.invalid("Status", "one of 0 to 7");
        }
        return OUTCOMES[(int) status];
    }

    private LoadReport report(JsonFields event, int i) {
        JsonNode row = event.array(i, "HealthInfo");
        if (row == null) {
            return null;
        }
        return LoadReportColumns.toLoadReport(column -> value(event, row, column));
    }

    private double value(JsonFields event, JsonNode row, String column) {
        int i = columns.indexOf(column);
        JsonNode value = i < 0 ? null : row.get(i);
        if (value == null || value.isNull()) {
            return Double.NaN;
        }
        if (!value.isNumber()) {
            throw event.invalid("HealthInfo." + column, "a number");
        }
        return value.doubleValue();
    }

    private void forgetIfOver(Request assignment) {
        if (!assignment.isFinished()) {
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
    public void dispatch(Attempt dispatch, Duration timeOut) {
        write("CallOut", to -> {
            to.writeString(ids.get(dispatch.request));
            to.writeString(addresses.get(dispatch.runner));
            to.writeNumber(micros(timeOut));
        });
    }

    @Override
    public void cancel(Attempt dispatch) {
        write("AbortAttempt", to -> {
            to.writeString(ids.get(dispatch.request));
            to.writeNumber(dispatch.request.attempts.indexOf(dispatch));
        });
    }

    @Override
    public void shed(Request assignment, Duration pause) {
        write("Reject", to -> {
            to.writeString(ids.get(assignment));
            to.writeNumber(micros(pause));
        });
        forgetIfOver(assignment);
    }

    @Override
    public void giveUp(Request assignment) {
        write("Abort", to -> to.writeString(ids.get(assignment)));
        forgetIfOver(assignment);
    }

    @Override
    public void probe(Runner runner) {
        write("AskLoad", to -> to.writeString(addresses.get(runner)));
    }

    @Override
    public void setTimer(Duration after, Object what) {
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
    public void requestRunnerList() {
        write("ReadList", to -> {});
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        write("ShutIdle", to -> to.writeString(addresses.get(runner)));
    }

    @Override
    public void sendToPeer(int dispatcher, String message) {
        write("Notify", to -> {
            to.writeNumber(dispatcher);
            to.writeString(message);
        });
    }

    @Override
    public void log(String line) {
        write("Emit", to -> to.writeString(line));
    }
}
