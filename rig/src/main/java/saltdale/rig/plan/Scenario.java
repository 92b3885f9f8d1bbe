package saltdale.rig.plan;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.DispatcherSettings;
import saltdale.model.OverloadSettings;
import saltdale.model.Workload;

/**
 * A test scenario as a plan file describes it: the dispatchers and their settings, the runner fleet, the network, the
 * load and the faults.
 */
public final class Scenario {
    public final String name;
    public final long seed;
    public final Duration length;
    public final Duration warmUp;
    public final int dispatcherCount;
    /** Settings of all dispatchers, without index and zone. */
    public final DispatcherSettings dispatcherSettings;
    /** How long after a runner is listed as draining or gone a dispatcher may still send to it. */
    public final Duration drainGrace;
    /** Time that clients and the judge allow beyond the client timeout for a response. */
    public final Duration answerGrace;

    public final Duration idleClose;
    public final List<PlannedWorkload> workloads = new ArrayList<>();
    public final List<RunnerType> runnerTypes = new ArrayList<>();
    public final int runnerCount;
    public final List<String> zones;
    /** Number of cells that the runners are distributed over. */
    public final int cells;

    public final Duration sameZoneLatency;
    public final Duration crossZoneLatency;
    public final double networkJitter;
    /** Delay until the runner list reports that a runner drains or starts. */
    public final Duration listUpdateDelay;

    /** Delay until the runner list reports that a runner process died. */
    public final Duration crashNoticeDelay;

    /** Work that a probe costs its runner: counted in the figures, not added to the load of the runner. */
    public final Duration probeCost;

    public final boolean mustSubscribe;
    public final Traffic traffic;
    public final List<Trouble> troubles = new ArrayList<>();

    public Scenario(TomlTable table) {
        name = table.string("name", "day");
        seed = table.integer("seed", 1, 0, Integer.MAX_VALUE);
        length = table.duration("length", Duration.ofSeconds(20));
        warmUp = table.duration("warm_up", Duration.ofSeconds(1));
        if (warmUp.compareTo(length) >= 0) {
            throw table.invalid("warm_up", "a duration shorter than the scenario, " + length.toMillis() + " ms");
        }
        dispatcherCount = table.integer("dispatchers", 2, 1, 10_000);

        TomlTable fleet = table.table("fleet");
        runnerCount = fleet.integer("runners", 8, 1, 100_000);
        zones = fleet.strings("zones", List.of("a"));
        if (zones.isEmpty()) {
            throw fleet.invalid("zones", "a list of at least one quoted string");
        }
        cells = fleet.integer("cells", 1, 1, 100_000);
        fleet.tables("make").forEach(row -> runnerTypes.add(RunnerType.read(row)));
        if (runnerTypes.isEmpty()) {
            runnerTypes.add(RunnerType.read(fleet.table("make_of_all")));
        }

        TomlTable net = table.table("network");
        sameZoneLatency = net.duration("same_zone", Duration.ofNanos(200_000));
        crossZoneLatency = net.duration("cross_zone", Duration.ofNanos(800_000));
        networkJitter = net.number("jitter", 0.2, 0, 10);
        listUpdateDelay = net.duration("notice", Duration.ofMillis(200));
        crashNoticeDelay = net.duration("silent_notice", Duration.ofSeconds(3));

        probeCost = net.duration("probe_cost", Duration.ofNanos(300_000));

        TomlTable settingsTable = table.table("orders");
        dispatcherSettings = new DispatcherSettings();
        dispatcherSettings.dispatcherCount = dispatcherCount;
        dispatcherSettings.roundInterval = settingsTable.duration("round", Duration.ofMillis(1));
        dispatcherSettings.subscribes = settingsTable.bool("must_subscribe", false);
        mustSubscribe = dispatcherSettings.subscribes;
        dispatcherSettings.mayProbe = settingsTable.bool("probes", true);
        dispatcherSettings.mayCancel = settingsTable.bool("cancels", true);
        dispatcherSettings.parallelAttempts = settingsTable.bool("parallel", false);
        dispatcherSettings.sendsRetryAfter = settingsTable.bool("pauses", true);
        dispatcherSettings.maxRetryAfter = settingsTable.duration("longest_pause", Duration.ofSeconds(1));
        dispatcherSettings.maxAttempts = settingsTable.integer("most_dispatches", 4, 1, 1000);
        dispatcherSettings.connectTimeout = settingsTable.duration("connect_time", Duration.ofMillis(250));
        if (dispatcherSettings.connectTimeout.isZero()) {
            throw settingsTable.invalid("connect_time", "a duration over 0");
        }
        dispatcherSettings.reportsStart = settingsTable.bool("tells_start", true);
        dispatcherSettings.progressInterval = runnerTypes.stream()
                .map(RunnerType::progressInterval)
                .filter(p -> !p.isZero())
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        dispatcherSettings.coldCapacity = runnerTypes.stream()
                .mapToDouble(RunnerType::coldCapacityShare)
                .min()
                .orElse(1);
        dispatcherSettings.warmUpTime = runnerTypes.stream()
                .map(RunnerType::warmUpTime)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        dispatcherSettings.coldLimitMultiple = settingsTable.number("tip_multiple", 2.5, 1, 1000);
        dispatcherSettings.coldLimitWindow = settingsTable.duration("fall", Duration.ofSeconds(2));
        dispatcherSettings.lateRejections = settingsTable.bool("full_proves_nothing", false);
        dispatcherSettings.crossZonePrice = settingsTable.number("cross_zone_price", 0, 0, 10);
        dispatcherSettings.overload = table.has("overload") ? readOverload(table.table("overload")) : null;
        drainGrace = settingsTable.duration("drain_grace", Duration.ofMillis(500));
        answerGrace = settingsTable.duration("answer_grace", Duration.ofMillis(50));
        idleClose = settingsTable.duration("idle_close", Duration.ofSeconds(30));

        for (TomlTable row : table.tables("workload")) {
            workloads.add(readWorkload(row));
        }
        if (workloads.isEmpty()) {
            throw table.missing("workload", "at least one table [[workload]]");
        }
        workloads.forEach(planned -> dispatcherSettings.workloads.add(planned.workload()));

        Traffic read = Traffic.read(table.table("load"));
        dispatcherSettings.retriesMarked = read.marksRetries();
        traffic = read.utilisation() == 0 ? read : read.withRate(read.utilisation() * capacity() / meanWorkSeconds());
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        for (TomlTable row : table.tables("trouble")) {
            Trouble next = Trouble.read(row, runnerCount, dispatcherCount, zones, random);
            if (next.kind() == Trouble.Kind.LATE_SHED && !dispatcherSettings.lateRejections) {
                throw row.invalid("kind", "possible: orders.full_proves_nothing is not true");
            }
            for (Trouble other : troubles) {
                if (next.isProcessFault()
                        && other.isProcessFault()
                        && next.at().compareTo(other.end()) <= 0
                        && other.at().compareTo(next.end()) <= 0
                        && next.runners().stream().anyMatch(other.runners()::contains)) {
                    throw row.invalid("at", "possible: another trouble affects the same dispatcher at that time");
                }
            }
            troubles.add(next);
        }
    }

    /** Reads a plan file; keys that belong to an experiment are allowed and ignored. */
    public static Scenario read(Path file) {
        TomlTable table = TomlTable.read(file);
        Scenario scenario = new Scenario(table);
        // read by Experiment
        table.ignore("face", "repeats", "quick_repeats", "cpus", "expect", "version", "sweep");
        table.rejectUnknownKeys();
        return scenario;
    }

    /** Rejects faults of processes and sockets, which would have no effect in a simulation. */
    public void requireSimulatable(String file) {
        troubles.stream().filter(Trouble::requiresSockets).findFirst().ifPresent(t -> {
            throw new InvalidInputException(
                    file + ": trouble.kind: " + t.kind().name().toLowerCase().replace('_', '-')
                            + " can't be simulated: it needs processes and sockets");
        });
    }

    /** The settings of one dispatcher: those of all dispatchers, with its own index and zone. */
    public DispatcherSettings dispatcherSettings(int dispatcher) {
        DispatcherSettings settings = new DispatcherSettings();
        settings.workloads.addAll(dispatcherSettings.workloads);
        settings.dispatcherIndex = dispatcher;
        settings.dispatcherCount = dispatcherSettings.dispatcherCount;
        settings.zone = zone(dispatcher);
        settings.roundInterval = dispatcherSettings.roundInterval;
        settings.subscribes = dispatcherSettings.subscribes;
        settings.mayProbe = dispatcherSettings.mayProbe;
        settings.mayCancel = dispatcherSettings.mayCancel;
        settings.parallelAttempts = dispatcherSettings.parallelAttempts;
        settings.sendsRetryAfter = dispatcherSettings.sendsRetryAfter;
        settings.maxRetryAfter = dispatcherSettings.maxRetryAfter;
        settings.maxAttempts = dispatcherSettings.maxAttempts;
        settings.connectTimeout = dispatcherSettings.connectTimeout;
        settings.reportsStart = dispatcherSettings.reportsStart;
        settings.progressInterval = dispatcherSettings.progressInterval;
        settings.coldCapacity = dispatcherSettings.coldCapacity;
        settings.warmUpTime = dispatcherSettings.warmUpTime;
        settings.coldLimitMultiple = dispatcherSettings.coldLimitMultiple;
        settings.coldLimitWindow = dispatcherSettings.coldLimitWindow;
        settings.lateRejections = dispatcherSettings.lateRejections;
        settings.crossZonePrice = dispatcherSettings.crossZonePrice;
        settings.overload = dispatcherSettings.overload;
        settings.retriesMarked = dispatcherSettings.retriesMarked;
        return settings;
    }

    /** Reads the table {@code overload}, with the keys of the table of this name in the settings of the daemon. */
    private static OverloadSettings readOverload(TomlTable table) {
        OverloadSettings defaults = OverloadSettings.DEFAULTS;
        OverloadSettings overloadSettings = new OverloadSettings(
                table.number("low", defaults.lowWaitShare(), 0, 10),
                table.number("high", defaults.highWaitShare(), 0, 10),
                table.number("borne", defaults.slackShare(), 0.01, 1),
                table.number("missed", defaults.tolerableMissShare(), 0, 1),
                table.duration("step", defaults.minChangeInterval()),
                table.integer("known", defaults.minCompletions(), 1, 1_000_000));
        if (overloadSettings.highWaitShare() <= overloadSettings.lowWaitShare()) {
            throw table.invalid("high", "over low");
        }
        return overloadSettings;
    }

    private PlannedWorkload readWorkload(TomlTable row) {
        Workload w = new Workload();
        w.name = row.required("name");
        if (!w.name.matches("[A-Za-z0-9._~-]+")) {
            throw row.invalid("name", "a name of letters, digits and . _ ~ -");
        }
        w.targetLatency = row.duration("promised", Duration.ofMillis(400));
        w.latencyStretch = row.number("stretch", 2, 0, 1000);
        w.clientTimeout = row.duration("patience", Duration.ofSeconds(3));
        w.importance = row.number("importance", 1, 0, 1e9);
        w.repeatSafety = row.enumValue("repeat", Workload.RepeatSafety.PURE);
        w.dedupScope = row.enumValue("group", Workload.DedupScope.ALL);
        w.dedupWindow = row.duration("window", Duration.ofSeconds(5));
        w.zones.addAll(among(row, "zones", zones));
        w.machineTypes.addAll(
                among(row, "kinds", runnerTypes.stream().map(RunnerType::name).toList()));
        return new PlannedWorkload(w, row.number("share", 1, 0.000001, 1e9), SizeDistribution.read(row.table("size")));
    }

    private static List<String> among(TomlTable row, String key, List<String> known) {
        List<String> names = row.strings(key, List.of());
        if (!known.containsAll(names)) {
            throw row.invalid(key, "a list of names among " + String.join(", ", known));
        }
        return names;
    }

    /** The type of the runner with this index; types are distributed over the fleet by their shares. */
    public RunnerType runnerType(int runner) {
        double all = runnerTypes.stream().mapToDouble(RunnerType::share).sum();
        // The golden ratio spreads the types evenly at any fleet size.
        double position = (runner + 0.5) * 0.6180339887498949 % 1 * all;
        for (RunnerType runnerType : runnerTypes) {
            position -= runnerType.share();
            if (position < 0) {
                return runnerType;
            }
        }
        return runnerTypes.get(runnerTypes.size() - 1);
    }

    /** The zone of the runner or dispatcher with this index. */
    public String zone(int number) {
        return zones.get(number % zones.size());
    }

    /** The cell of the runner with this index. */
    public int cell(int runner) {
        return runner % cells;
    }

    /**
     * The longest time that a client can take: all its tries, each with the client timeout, and the delays between
     * them. A request counts as unanswered only after this time.
     */
    public Duration maxClientTime() {
        int tries = traffic.retries() + 1;
        Duration each = dispatcherSettings
                .maxClientTimeout()
                .plus(answerGrace)
                .plus(traffic.honoursRetryAfter() ? dispatcherSettings.maxRetryAfter : Duration.ZERO);
        return each.multipliedBy(tries).plus(traffic.initialBackoff().multipliedBy(1L << Math.min(20, tries)));
    }

    /** Capacity of the whole fleet, in seconds of work per second. */
    public double capacity() {
        double all = 0;
        for (int i = 0; i < runnerCount; i++) {
            all += runnerType(i).capacity();
        }
        return all;
    }

    /** Mean work of an assignment over all workloads, in seconds. */
    public double meanWorkSeconds() {
        double share = workloads.stream().mapToDouble(PlannedWorkload::share).sum();
        return workloads.stream()
                .mapToDouble(j -> j.share() / share * j.size().mean())
                .sum();
    }
}
