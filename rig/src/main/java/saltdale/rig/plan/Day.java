package saltdale.rig.plan;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.DispatcherSettings;
import saltdale.model.OverloadSettings;
import saltdale.model.Workload;

/** One day to be played: the dispatchers, what they are told, the fleet, the load and the troubles. */
public final class Day {
    public final String name;
    public final long seed;
    public final Duration length;
    public final Duration warmUp;
    public final int dispatchers;
    public final DispatcherSettings orders;
    public final Duration drainGrace;
    public final Duration answerGrace;
    public final Duration idleClose;
    public final List<Job> jobs = new ArrayList<>();
    public final List<Make> makes = new ArrayList<>();
    public final int runners;
    public final List<String> zones;
    public final int cells;
    public final Duration sameZone;
    public final Duration crossZone;
    public final double netJitter;
    /** How long the list takes to tell of a change: of a drain or a start, and of a process that died. */
    public final Duration notice;

    public final Duration silentNotice;
    /** What a probe costs its runner: counted, not charged. */
    public final Duration probeCost;

    public final boolean mustSubscribe;
    public final Traffic traffic;
    public final List<Trouble> troubles = new ArrayList<>();

    public Day(Sheet sheet) {
        name = sheet.text("name", "day");
        seed = sheet.whole("seed", 1, 0, Integer.MAX_VALUE);
        length = sheet.span("length", Duration.ofSeconds(20));
        warmUp = sheet.span("warm_up", Duration.ofSeconds(1));
        if (warmUp.compareTo(length) >= 0) {
            throw sheet.wrong("warm_up", "a span under the length of the day, " + length.toMillis() + " ms");
        }
        dispatchers = sheet.whole("dispatchers", 2, 1, 10_000);

        Sheet fleet = sheet.part("fleet");
        runners = fleet.whole("runners", 8, 1, 100_000);
        zones = fleet.texts("zones", List.of("a"));
        if (zones.isEmpty()) {
            throw fleet.wrong("zones", "a list of at least one text in quotes");
        }
        cells = fleet.whole("cells", 1, 1, 100_000);
        fleet.rows("make").forEach(row -> makes.add(Make.read(row)));
        if (makes.isEmpty()) {
            makes.add(Make.read(fleet.part("make_of_all")));
        }

        Sheet net = sheet.part("network");
        sameZone = net.span("same_zone", Duration.ofNanos(200_000));
        crossZone = net.span("cross_zone", Duration.ofNanos(800_000));
        netJitter = net.number("jitter", 0.2, 0, 10);
        notice = net.span("notice", Duration.ofMillis(200));
        silentNotice = net.span("silent_notice", Duration.ofSeconds(3));

        probeCost = net.span("probe_cost", Duration.ofNanos(300_000));

        Sheet told = sheet.part("orders");
        orders = new DispatcherSettings();
        orders.dispatcherCount = dispatchers;
        orders.roundInterval = told.span("round", Duration.ofMillis(1));
        orders.subscribes = told.flag("must_subscribe", false);
        mustSubscribe = orders.subscribes;
        orders.mayProbe = told.flag("probes", true);
        orders.mayCancel = told.flag("cancels", true);
        orders.parallelAttempts = told.flag("parallel", false);
        orders.sendsRetryAfter = told.flag("pauses", true);
        orders.maxRetryAfter = told.span("longest_pause", Duration.ofSeconds(1));
        orders.maxAttempts = told.whole("most_dispatches", 4, 1, 1000);
        orders.connectTimeout = told.span("connect_time", Duration.ofMillis(250));
        if (orders.connectTimeout.isZero()) {
            throw told.wrong("connect_time", "a span over 0");
        }
        orders.reportsStart = told.flag("tells_start", true);
        orders.progressInterval = makes.stream()
                .map(Make::progressEvery)
                .filter(p -> !p.isZero())
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        orders.coldCapacity = makes.stream().mapToDouble(Make::coldFrom).min().orElse(1);
        orders.warmUpTime =
                makes.stream().map(Make::warmWithin).max(Duration::compareTo).orElse(Duration.ZERO);
        orders.coldLimitMultiple = told.number("tip_multiple", 2.5, 1, 1000);
        orders.coldLimitWindow = told.span("fall", Duration.ofSeconds(2));
        orders.lateRejections = told.flag("full_proves_nothing", false);
        orders.crossZonePrice = told.number("cross_zone_price", 0, 0, 10);
        orders.overload = sheet.has("overload") ? relief(sheet.part("overload")) : null;
        drainGrace = told.span("drain_grace", Duration.ofMillis(500));
        answerGrace = told.span("answer_grace", Duration.ofMillis(50));
        idleClose = told.span("idle_close", Duration.ofSeconds(30));

        for (Sheet row : sheet.rows("workload")) {
            jobs.add(job(row));
        }
        if (jobs.isEmpty()) {
            throw sheet.lacks("workload", "at least one table [[workload]]");
        }
        jobs.forEach(job -> orders.workloads.add(job.workload()));

        Traffic read = Traffic.read(sheet.part("load"));
        orders.retriesMarked = read.marks();
        traffic = read.utilisation() == 0 ? read : read.at(read.utilisation() * capacity() / meanSize());
        SplittableRandom chance = new SplittableRandom(seed * 31 + 7);
        for (Sheet row : sheet.rows("trouble")) {
            Trouble next = Trouble.read(row, runners, dispatchers, zones, chance);
            if (next.kind() == Trouble.Kind.LATE_SHED && !orders.lateRejections) {
                throw row.wrong("kind", "possible: orders.full_proves_nothing is not true");
            }
            for (Trouble other : troubles) {
                if (next.onProcess()
                        && other.onProcess()
                        && next.at().compareTo(other.end()) <= 0
                        && other.at().compareTo(next.end()) <= 0
                        && next.runners().stream().anyMatch(other.runners()::contains)) {
                    throw row.wrong("at", "possible: it befalls a dispatcher that another trouble holds by then");
                }
            }
            troubles.add(next);
        }
    }

    public static Day read(Path file) {
        Sheet sheet = Sheet.read(file);
        Day day = new Day(sheet);
        // an experiment's
        sheet.leave("face", "repeats", "quick_repeats", "cpus", "expect", "version", "sweep");
        sheet.close();
        return day;
    }

    /** Guards against a day whose faults nothing would cause: there are no processes in simulated time. */
    public void mustBeSimulated(String file) {
        troubles.stream().filter(Trouble::socketsOnly).findFirst().ifPresent(t -> {
            throw new Misread(
                    file + ": trouble.kind: " + t.kind().name().toLowerCase().replace('_', '-')
                            + " can't be played in simulated time: it needs processes and sockets");
        });
    }

    /** What one dispatcher is told: the same as all, but for its number and its zone. */
    public DispatcherSettings orders(int dispatcher) {
        DispatcherSettings one = new DispatcherSettings();
        one.workloads.addAll(orders.workloads);
        one.dispatcherIndex = dispatcher;
        one.dispatcherCount = orders.dispatcherCount;
        one.zone = zone(dispatcher);
        one.roundInterval = orders.roundInterval;
        one.subscribes = orders.subscribes;
        one.mayProbe = orders.mayProbe;
        one.mayCancel = orders.mayCancel;
        one.parallelAttempts = orders.parallelAttempts;
        one.sendsRetryAfter = orders.sendsRetryAfter;
        one.maxRetryAfter = orders.maxRetryAfter;
        one.maxAttempts = orders.maxAttempts;
        one.connectTimeout = orders.connectTimeout;
        one.reportsStart = orders.reportsStart;
        one.progressInterval = orders.progressInterval;
        one.coldCapacity = orders.coldCapacity;
        one.warmUpTime = orders.warmUpTime;
        one.coldLimitMultiple = orders.coldLimitMultiple;
        one.coldLimitWindow = orders.coldLimitWindow;
        one.lateRejections = orders.lateRejections;
        one.crossZonePrice = orders.crossZonePrice;
        one.overload = orders.overload;
        one.retriesMarked = orders.retriesMarked;
        return one;
    }

    /** As the daemon reads its own table of this name. */
    private static OverloadSettings relief(Sheet sheet) {
        OverloadSettings usual = OverloadSettings.DEFAULTS;
        OverloadSettings relief = new OverloadSettings(
                sheet.number("low", usual.lowWaitShare(), 0, 10),
                sheet.number("high", usual.highWaitShare(), 0, 10),
                sheet.number("borne", usual.slackShare(), 0.01, 1),
                sheet.number("missed", usual.tolerableMissShare(), 0, 1),
                sheet.span("step", usual.minChangeInterval()),
                sheet.whole("known", usual.minCompletions(), 1, 1_000_000));
        if (relief.highWaitShare() <= relief.lowWaitShare()) {
            throw sheet.wrong("high", "over low");
        }
        return relief;
    }

    private Job job(Sheet row) {
        Workload w = new Workload();
        w.name = row.required("name");
        if (!w.name.matches("[A-Za-z0-9._~-]+")) {
            throw row.wrong("name", "a name of letters, figures and . _ ~ -");
        }
        w.targetLatency = row.span("promised", Duration.ofMillis(400));
        w.latencyStretch = row.number("stretch", 2, 0, 1000);
        w.clientTimeout = row.span("patience", Duration.ofSeconds(3));
        w.importance = row.number("importance", 1, 0, 1e9);
        w.repeatSafety = row.word("repeat", Workload.RepeatSafety.PURE);
        w.dedupScope = row.word("group", Workload.DedupScope.ALL);
        w.dedupWindow = row.span("window", Duration.ofSeconds(5));
        w.zones.addAll(among(row, "zones", zones));
        w.machineTypes.addAll(among(row, "kinds", makes.stream().map(Make::name).toList()));
        return new Job(w, row.number("share", 1, 0.000001, 1e9), Size.read(row.part("size")));
    }

    private static List<String> among(Sheet row, String key, List<String> known) {
        List<String> names = row.texts(key, List.of());
        if (!known.containsAll(names)) {
            throw row.wrong(key, "a list of names among " + String.join(", ", known));
        }
        return names;
    }

    /** The make of the runner of this number: makes go round by their shares. */
    public Make make(int runner) {
        double all = makes.stream().mapToDouble(Make::share).sum();
        // spread evenly, whatever the fleet's size
        double at = (runner + 0.5) * 0.6180339887498949 % 1 * all;
        for (Make make : makes) {
            at -= make.share();
            if (at < 0) {
                return make;
            }
        }
        return makes.get(makes.size() - 1);
    }

    public String zone(int number) {
        return zones.get(number % zones.size());
    }

    public int cell(int runner) {
        return runner % cells;
    }

    /**
     * How long a client may stay at the most: all its tries, each with its patience, and the waits between. Before
     * that a request without an answer is not lost.
     */
    public Duration longestStay() {
        int tries = traffic.retries() + 1;
        Duration each = orders.maxClientTimeout()
                .plus(answerGrace)
                .plus(traffic.honoursPause() ? orders.maxRetryAfter : Duration.ZERO);
        return each.multipliedBy(tries).plus(traffic.firstWait().multipliedBy(1L << Math.min(20, tries)));
    }

    /** Seconds of work a second that the whole fleet does. */
    public double capacity() {
        double all = 0;
        for (int i = 0; i < runners; i++) {
            all += make(i).capacity();
        }
        return all;
    }

    /** Seconds of work of an assignment, on average. */
    public double meanSize() {
        double share = jobs.stream().mapToDouble(Job::share).sum();
        return jobs.stream()
                .mapToDouble(j -> j.share() / share * j.size().mean())
                .sum();
    }
}
