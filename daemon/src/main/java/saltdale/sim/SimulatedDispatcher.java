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

/**
 * One dispatcher on the protocol of the simulator: passes the events to the dispatcher and writes its actions to the
 * reply. It maps the ids in messages to requests, attempts, runners and timers.
 */
final class SimulatedDispatcher implements DispatcherActions {
    /** The names of all events. */
    static final Set<String> EVENT_NAMES = Set.of(
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
    // Bits of the field Opts.
    private static final int HINT_VALID_FLAG = 1;
    private static final int RETRY_FLAG = 2;
    /** The outcomes in the order of their status codes in messages. */
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

    private final long dispatcherId;
    private final long startMicros;
    private final Map<String, Workload> workloads = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final List<String> loadReportColumns = new ArrayList<>();
    private final Map<String, Runner> runnersByAddress = new HashMap<>();
    private final Map<Runner, String> addressesByRunner = new HashMap<>();
    private final Map<String, Request> requestsById = new HashMap<>();
    private final Map<Request, String> idsByRequest = new HashMap<>();
    private final Map<Long, Object> timerTargets = new HashMap<>();
    private long nextTimerToken;
    private final Dispatcher dispatcher;
    private JsonGenerator reply;
    private Duration now;

    SimulatedDispatcher(long dispatcherId, long clockMicros, JsonFields powerOn) {
        this.dispatcherId = dispatcherId;
        this.startMicros = clockMicros;
        JsonFields options = powerOn.object(3, "Options");
        DispatcherSettings settings = SettingsReader.read(options);
        for (Workload workload : settings.workloads) {
            workloads.put(workload.name, workload);
        }
        for (Tenant tenant : settings.tenants) {
            tenants.put(tenant.name, tenant);
        }
        for (JsonNode column : options.object("LoadReport").array("Columns")) {
            loadReportColumns.add(column.asText());
        }
        dispatcher = new Dispatcher(settings, this, new SplittableRandom(powerOn.low64Bits(2, "Nonce64")));
    }

    /** Sets the time and the reply of the current batch; called before each event. */
    void beginEvent(long clockMicros, JsonGenerator batchReply) {
        now = JsonFields.micros(clockMicros - startMicros);
        reply = batchReply;
    }

    /** Lets the dispatcher decide after the last event of a batch. */
    void endBatch() {
        dispatcher.applyActions(now);
    }

    /** Handles an event of this name. */
    void handle(String name, JsonFields event) {
        switch (name) {
            case "PowerOn" -> dispatcher.onStart(now);
            case "Update" -> handleRunnerList(event);
            case "NewRequest" -> handleRequest(event);
            case "AttemptEnd" -> handleAttemptEnd(event);
            case "HintUpdate" -> handleJobUpdate(event);
            case "Streaming" -> {
                Attempt attempt = attemptOf(event);
                if (attempt != null) {
                    dispatcher.onStreaming(now, attempt);
                }
            }
            case "CheckResult" -> {
                Outcome outcome = outcome(event, 3);
                dispatcher.onProbeResult(
                        now,
                        runner(event, 2),
                        outcome == Outcome.FULFILLED,
                        JsonFields.micros(event.integer(4, "DelaySeen", 0)),
                        loadReport(event, 5));
            }
            case "TimedOutClient" -> {
                Request request = requestsById.get(event.string(2, "Tid"));
                if (request != null) {
                    dispatcher.close(request);
                    removeIfFinished(request);
                }
            }
            case "Ring" -> {
                Object timerTarget = timerTargets.remove(event.integer(2, "Token"));
                if (timerTarget != null) {
                    dispatcher.onTimer(now, timerTarget);
                }
            }
            case "Peer" -> {
                event.integer(2, "Author");
                event.string(3, "Bytes", ""); // messages between dispatchers are validated but not used yet
            }
            default -> throw new IllegalStateException(name);
        }
    }

    private void handleRunnerList(JsonFields event) {
        // 0: changes, 1: a complete list, 2: a complete list from a cache, 3: the list could not be read.
        int kind = (int) event.integer(2, "How");
        if (kind < 0 || kind > 3) {
            throw event.invalid("How", "one of 0 to 3");
        }
        if (kind == 3) {
            dispatcher.onRunnerListFailure(now);
            return;
        }
        List<RunnerListEntry> entries = new ArrayList<>();
        JsonNode records = event.array(4, "Records");
        if (records != null) {
            for (JsonNode record : records) {
                if (!record.isArray()) {
                    throw event.invalid("Records", "an array of arrays");
                }
                entries.add(toEntry(new JsonFields("Update.Records", record)));
            }
        }
        dispatcher.onRunnerList(now, entries, kind != 0, kind == 2);
    }

    private RunnerListEntry toEntry(JsonFields fields) {
        String address = fields.string(4, "Runner");
        Runner runner = runnersByAddress.get(address);
        if (runner == null) {
            runner = new Runner();
            runner.hash = Keys.hash(address);
            runnersByAddress.put(address, runner);
            addressesByRunner.put(runner, address);
        }
        Runner.Mode mode = switch ((int) fields.integer(3, "Mode")) {
            case 0 -> Runner.Mode.DRAINING;
            case 2 -> Runner.Mode.READY;
            case 3 -> Runner.Mode.GONE;
            default -> throw fields.invalid("Mode", "one of 0, 2 and 3");
        };
        long startedAtMicros = fields.integer(6, "StartedAt", 0);
        return new RunnerListEntry(
                runner,
                fields.string(0, "ClassOfHost", ""),
                fields.string(1, "Zone", ""),
                fields.number(2, "PowerHint", 1),
                mode,
                (int) fields.integer(5, "Pod", 0),
                startedAtMicros == 0 ? null : JsonFields.micros(startedAtMicros - startMicros));
    }

    private void handleRequest(JsonFields event) {
        String id = event.string(2, "Tid");
        Workload workload = workloads.get(event.string(3, "TierClass"));
        if (workload == null) {
            throw event.invalid("TierClass", "the name of a workload of the settings");
        }
        Request request = new Request(workload, now, JsonFields.micros(event.integer(6, "TimeBudget")));
        JsonNode tenantName = event.raw(4);
        request.tenant = tenantName != null && tenantName.isTextual() ? tenants.get(tenantName.textValue()) : null;
        long flags = event.integer(10, "Opts", 0);
        long hintMicros = event.integer(7, "WeightHint", 0);
        request.runTimeHint = (flags & HINT_VALID_FLAG) != 0 && hintMicros > 0 ? JsonFields.micros(hintMicros) : null;
        request.slots = event.number(8, "Slots", 1);
        request.memory = event.number(9, "Mem", 0);
        JsonNode affinityKey = event.raw(5);
        request.affinityKey = affinityKey != null && affinityKey.isTextual() ? Keys.hash(affinityKey.textValue()) : 0;
        request.markedAsRetry = (flags & RETRY_FLAG) != 0;
        requestsById.put(id, request);
        idsByRequest.put(request, id);
        dispatcher.onRequest(now, request);
    }

    private void handleAttemptEnd(JsonFields event) {
        Attempt attempt = attemptOf(event);
        if (attempt == null) {
            return;
        }
        Outcome outcome = outcome(event, 5);
        dispatcher.onAttemptEnd(now, attempt, outcome, event.bool(7, "Terminal"), loadReport(event, 9));
        removeIfFinished(attempt.request);
    }

    private void handleJobUpdate(JsonFields event) {
        Attempt attempt = attemptOf(event);
        if (attempt == null) {
            return;
        }
        long updateKind = event.integer(5, "Sort");
        if (updateKind == 1) {
            dispatcher.onStarted(now, attempt);
        } else if (updateKind == 2) {
            dispatcher.onProgress(now, attempt);
        }
    }

    private Attempt attemptOf(JsonFields event) {
        Request request = requestsById.get(event.string(2, "Tid"));
        int number = (int) event.integer(3, "SendNo");
        if (request == null) {
            return null;
        }
        if (number < 0 || number >= request.attempts.size()) {
            throw event.invalid("SendNo", "the number of an attempt that was made");
        }
        return request.attempts.get(number);
    }

    private Runner runner(JsonFields event, int index) {
        Runner runner = runnersByAddress.get(event.string(index, "Runner"));
        if (runner == null) {
            throw event.invalid("Runner", "a runner that has been listed");
        }
        return runner;
    }

    private static Outcome outcome(JsonFields event, int index) {
        long status = event.integer(index, "Status");
        if (status < 0 || status >= OUTCOMES.length) {
            throw event.invalid("Status", "one of 0 to 7");
        }
        return OUTCOMES[(int) status];
    }

    private LoadReport loadReport(JsonFields event, int index) {
        JsonNode row = event.array(index, "HealthInfo");
        if (row == null) {
            return null;
        }
        return LoadReportColumns.toLoadReport(column -> columnValue(event, row, column));
    }

    private double columnValue(JsonFields event, JsonNode row, String column) {
        int index = loadReportColumns.indexOf(column);
        JsonNode value = index < 0 ? null : row.get(index);
        if (value == null || value.isNull()) {
            return Double.NaN;
        }
        if (!value.isNumber()) {
            throw event.invalid("HealthInfo." + column, "a number");
        }
        return value.doubleValue();
    }

    private void removeIfFinished(Request request) {
        if (!request.isFinished()) {
            return;
        }
        String id = idsByRequest.remove(request);
        if (id != null) {
            requestsById.remove(id);
        }
    }

    // ---- Actions of the dispatcher.

    /** Writes the fields of a message to the reply. */
    private interface FieldWriter {
        void writeTo(JsonGenerator reply) throws IOException;
    }

    private void write(String messageName, FieldWriter fieldWriter) {
        try {
            reply.writeStartArray();
            reply.writeString(messageName);
            reply.writeNumber(dispatcherId);
            fieldWriter.writeTo(reply);
            reply.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long micros(Duration duration) {
        return duration == null ? 0 : Math.floorDiv(duration.toNanos(), 1000L);
    }

    @Override
    public void dispatch(Attempt attempt, Duration timeout) {
        write("CallOut", json -> {
            json.writeString(idsByRequest.get(attempt.request));
            json.writeString(addressesByRunner.get(attempt.runner));
            json.writeNumber(micros(timeout));
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        write("AbortAttempt", json -> {
            json.writeString(idsByRequest.get(attempt.request));
            json.writeNumber(attempt.request.attempts.indexOf(attempt));
        });
    }

    @Override
    public void shed(Request request, Duration retryAfter) {
        write("Reject", json -> {
            json.writeString(idsByRequest.get(request));
            json.writeNumber(micros(retryAfter));
        });
        removeIfFinished(request);
    }

    @Override
    public void giveUp(Request request) {
        write("Abort", json -> json.writeString(idsByRequest.get(request)));
        removeIfFinished(request);
    }

    @Override
    public void probe(Runner runner) {
        write("AskLoad", json -> json.writeString(addressesByRunner.get(runner)));
    }

    @Override
    public void setTimer(Duration delay, Object timerTarget) {
        long token = nextTimerToken++;
        timerTargets.put(token, timerTarget);
        write("Remind", json -> {
            json.writeNumber(Math.max(0, micros(delay)));
            json.writeNumber(token);
        });
    }

    @Override
    public void subscribe(boolean enabled) {
        write("Track", json -> json.writeBoolean(enabled));
    }

    @Override
    public void requestRunnerList() {
        write("ReadList", json -> {});
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        write("ShutIdle", json -> json.writeString(addressesByRunner.get(runner)));
    }

    @Override
    public void sendToPeer(int dispatcher, String message) {
        write("Notify", json -> {
            json.writeNumber(dispatcher);
            json.writeString(message);
        });
    }

    @Override
    public void log(String line) {
        write("Emit", json -> json.writeString(line));
    }
}
