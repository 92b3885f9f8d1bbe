package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Route;
import saltdale.rig.platform.Site;

/** Plays a short day with real processes: a proxy is killed, the configuration amended, all judged from outside. */
public final class Trial {
    /** What a day holds beside the kill of a proxy. */
    public record Day(int seconds, double rate, boolean drainWorker, boolean crashWorker) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TO_COME_UP = Duration.ofSeconds(12);
    private static final Duration TO_COME_BACK = Duration.ofMillis(500);
    private static final Duration WORKER_DOWN = Duration.ofSeconds(3);
    private static final Duration TO_READ_BACK = Duration.ofSeconds(2);
    private static final Duration MOST_LATE = Duration.ofMillis(50);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final int FIRST = 1;
    private static final int SECOND = 3; // versions rise by uneven steps

    private final StandIn standIn;
    private final Site site;
    private final Processes processes;
    private final PrintStream out;
    private final Operator operator;
    private final List<String> failures = new ArrayList<>();
    private Callers callers;
    private volatile boolean answered;
    private volatile JsonNode readBack;

    private Trial(StandIn standIn, Processes processes, PrintStream out) {
        this.standIn = standIn;
        this.site = standIn.site;
        this.processes = processes;
        this.out = out;
        operator = new Operator(standIn.loopThread, site);
    }

    /** Plays it and prints the verdict in one line; returns whether nothing failed. */
    public static boolean play(Site site, Day day, Path jar, Path folder, Faults faults, long seed, PrintStream out)
            throws IOException, InterruptedException {
        try (StandIn standIn = new StandIn(site, faults, seed, folder.resolve("platform.log"));
                Processes processes = new Processes(site, jar, folder)) {
            return new Trial(standIn, processes, out).play(day, seed);
        }
    }

    private boolean play(Day day, long seed) throws IOException, InterruptedException {
        processes.startAll();
        inside(() -> callers = new Callers(standIn.loopThread, standIn.origin, site, standIn.judge, seed + 1));
        change("Replace", 0, site.replacement(FIRST), site.routes());
        boolean up = until(TO_COME_UP, () -> answered && site.proxies().stream().allMatch(callers::isIn));
        say("configuration " + (answered ? "acknowledged" : "NOT acknowledged") + ", proxies ready "
                + site.proxies().stream().filter(callers::isIn).count() + " of "
                + site.proxies().size());
        if (up) {
            traffic(day);
            readBack();
        } else {
            failures.add("did not come up");
            site.machines().forEach(machine -> out.println("  " + machine.name() + ": " + processes.lastLine(machine)));
        }
        processes
                .ended()
                .forEach((machine, status) -> failures.add(
                        machine.name() + " ended by itself with " + status + ": " + processes.lastLine(machine)));
        processes
                .endAll(site.bounds().grace())
                .forEach(machine -> failures.add(machine.name() + " did not end within "
                        + site.bounds().grace().toSeconds() + " s of SIGTERM"));
        return verdict();
    }

    private void traffic(Day day) throws IOException, InterruptedException {
        Duration from = now();
        Judge judge = standIn.judge;
        Machine victim = site.proxies().get(site.proxies().size() - 1);
        inside(() -> callers.begin(day.rate));
        at(from, day, 0.2);
        say("killing " + victim.name());
        inside(() -> judge.troubled(victim.name(), now().plus(TO_COME_UP)));
        processes.kill(victim);
        Duration killed = now();
        Thread.sleep(TO_COME_BACK.toMillis());
        processes.restart(victim);
        boolean back = until(TO_COME_UP, () -> callers.isReadySince(victim, killed));
        inside(() -> judge.outOfTrouble(victim.name(), now()));
        say(victim.name()
                + (back
                        ? String.format(
                                Locale.ROOT,
                                " ready again after %.1f s",
                                now().minus(killed).toMillis() / 1e3)
                        : " did not come back"));
        if (!back) {
            failures.add(victim.name() + " did not come back: " + processes.lastLine(victim));
        }
        at(from, day, 0.4);
        amend();
        at(from, day, 0.5);
        if (!standIn.faults.isEmpty()) {
            inside(() -> {
                standIn.faults.on(true);
                judge.troubled(null, from.plusSeconds(day.seconds));
            });
        }
        if (day.drainWorker) {
            inside(() -> standIn.platform.drain(site.workers().get(0).name()));
            say("draining worker " + site.workers().get(0).name());
        }
        if (day.crashWorker) {
            String worker = site.workers().get(site.workers().size() - 1).name();
            inside(() -> {
                judge.troubled(null, now().plus(WORKER_DOWN));
                standIn.platform.crash(worker, WORKER_DOWN);
            });
            say("worker " + worker + " crashes");
        }
        at(from, day, 1);
        inside(callers::end);
        long longest = site.routes().stream()
                .mapToLong(route -> route.deadline().toMillis())
                .max()
                .orElse(0);
        until(Duration.ofMillis(longest + 500), () -> callers.open() == 0);
    }

    private void amend() {
        change("Amend", FIRST, site.amendment(SECOND), site.amended());
        if (!until(Duration.ofSeconds(5), () -> answered)) {
            failures.add("the amendment was not acknowledged within 5 s");
        }
        say("amendment " + (answered ? "acknowledged" : "NOT acknowledged"));
        standIn.loopThread.loop.execute(() ->
                standIn.loopThread.loop.schedule(site.bounds().configApply(), () -> callers.routes(site.amended())));
    }

    /** Sends a change; {@link #answered} once it is acknowledged. */
    private void change(String call, int basedOn, ObjectNode body, List<Route> routes) {
        answered = false;
        Judge judge = standIn.judge;
        inside(() -> {
            int version = judge.offered(routes);
            operator.change(call, basedOn, body, answer -> {
                if (answer.status() == 200) {
                    judge.acknowledged(standIn.origin.now(), version);
                    answered = true;
                } else {
                    failures.add("Configuration." + call + " was answered " + answer.status());
                }
            });
        });
    }

    private void readBack() {
        inside(() -> operator.read(answer -> {
            try {
                readBack = answer.status() == 200 ? JSON.readTree(answer.body()) : null;
            } catch (IOException e) {
                failures.add("what is read back is no JSON");
            }
        }));
        until(TO_READ_BACK, () -> readBack != null);
        JsonNode wanted = site.configuration(SECOND, site.amended());
        String differs = readBack == null ? "does not come" : differs(wanted, readBack);
        if (answered && differs != null) {
            inside(() -> standIn.judge.readBackWrong(now(), "the configuration read back " + differs));
        }
    }

    /** What differs between two configurations, whatever the order of their items; null for nothing. */
    static String differs(JsonNode wanted, JsonNode read) {
        for (String part : List.of("revision", "limits")) {
            if (!wanted.path(part).toString().equals(read.path(part).toString())
                    && !same(wanted.path(part), read.path(part))) {
                return "has another " + part + ": " + read.path(part);
            }
        }
        for (String part : List.of("routes", "services")) {
            Set<String> left = new HashSet<>();
            read.path(part).forEach(item -> left.add(item.path("name").asText()));
            for (JsonNode item : wanted.path(part)) {
                JsonNode other = null;
                for (JsonNode each : read.path(part)) {
                    other = each.path("name").equals(item.path("name")) ? each : other;
                }
                if (other == null || !same(item, other)) {
                    return "has other " + part + ": " + (other == null ? "no " + item.path("name") : other);
                }
                left.remove(item.path("name").asText());
            }
            if (!left.isEmpty()) {
                return "has more " + part + ": " + left;
            }
        }
        return null;
    }

    private static boolean same(JsonNode one, JsonNode other) {
        try {
            return JSON.readTree(one.toString()).equals(JSON.readTree(other.toString()));
        } catch (IOException e) {
            return false;
        }
    }

    private boolean verdict() {
        boolean[] good = new boolean[1];
        inside(() -> {
            Judge judge = standIn.judge;
            judge.told().forEach(line -> out.println("  " + line));
            failures.forEach(line -> out.println("  failed: " + line));
            if (!judge.unserved().isEmpty()) {
                out.println("  not served, by how the last try ended: " + judge.unserved());
            }
            Duration late = standIn.loopThread.mostLate();
            if (late.compareTo(MOST_LATE) > 0) {
                out.println("  the rig itself was up to " + late.toMillis() + " ms late: times are this machine's own");
            }
            good[0] = failures.isEmpty() && judge.broken() == 0 && judge.served() > 0;
            out.println((good[0] ? "passed: " : "FAILED: ") + judge.verdict() + "; " + standIn.platform.figures());
        });
        return good[0];
    }

    private Duration now() {
        return standIn.origin.now();
    }

    private void inside(Runnable what) {
        standIn.loopThread.inside(what);
    }

    private void say(String what) {
        out.printf(Locale.ROOT, "%5.1f s  %s%n", now().toMillis() / 1e3, what);
    }

    private void at(Duration from, Day day, double share) throws InterruptedException {
        Duration left = from.plusMillis((long) (share * day.seconds * 1000)).minus(now());
        if (!left.isNegative()) {
            Thread.sleep(left.toMillis());
        }
    }

    /** Waits until this holds, asked on the loop; false where it does not in time. */
    private boolean until(Duration limit, BooleanSupplier what) {
        Duration end = now().plus(limit);
        boolean[] holds = new boolean[1];
        while (now().compareTo(end) < 0) {
            inside(() -> holds[0] = what.getAsBoolean());
            if (holds[0]) {
                return true;
            }
            try {
                Thread.sleep(POLL.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }
}
