package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.Demand;
import saltdale.control.Environment;
import saltdale.control.Fields;
import saltdale.control.Instance;
import saltdale.control.InvalidConfiguration;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;
import saltdale.control.ServiceOwnership;
import saltdale.control.message.InstanceMessage.DemandReport;
import saltdale.control.message.InstanceMessage.InstanceReady;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage;
import saltdale.control.message.SlotMessage;
import saltdale.control.message.SlotMessage.HeldSlot;
import saltdale.control.message.SlotMessage.SlotCancel;
import saltdale.control.message.SlotMessage.SlotElsewhere;
import saltdale.control.message.SlotMessage.SlotGrant;
import saltdale.control.message.SlotMessage.SlotQueued;
import saltdale.control.message.SlotMessage.SlotRefusal;
import saltdale.control.message.SlotMessage.SlotRequest;
import saltdale.control.message.SlotMessage.SlotReturn;
import saltdale.control.message.SlotMessage.SlotsHeld;
import saltdale.probing.ProbeLoop;

/**
 * A dispatcher that carries calls: it finds the route, asks the service's home in its zone for a slot, sends the
 * call to
 * the runner that it is lent, and answers. It is itself home to some services of its zone. No I/O and no clock of
 * its own.
 */
public final class Proxy {
    private static final long MARGIN = Environment.millis(15); // before a client's deadline, for the way back
    private static final int NESTED = -1; // the priority of calls that runners make while they hold a slot
    private static final int MOST_MOVES = 6; // of a call that no runner began, from one runner to another

    private record Held(String runner, String life, long until) {}

    private final Environment environment;
    private final ProxySettings proxySettings;
    private final Transport transport;
    private final ControlSession controlSession;
    private final RetryBudget budget;
    private final ProbeLoop probes = new ProbeLoop();
    private final Map<String, SlotAllocator> homes = new HashMap<>(); // by service, those that we are
    private final Map<Long, Request> asking = new HashMap<>();
    private final Set<Attempt> carried = new HashSet<>();
    private final Map<String, Long> silent =
            new HashMap<>(); // members that did not answer, until when they are passed by
    private final Map<String, Instance> told = new LinkedHashMap<>(); // runners of services that we are home to
    private final Set<String> runnerHosts = new HashSet<>(); // where runners have been: calls from there are nested
    private final Map<String, Held> early = new LinkedHashMap<>(); // by key: loans of runners not known here yet
    private Collection<Member> crew = List.of();
    private long awakeAt;
    private long crewAt; // when it changed last
    private Configuration chart;
    private long asks;
    private boolean needed; // something, when it was last told
    private boolean ending;
    private boolean turnsAway; // at its end, what would have to wait

    public Proxy(Environment environment, ProxySettings proxySettings, Transport transport) {
        this.environment = environment;
        this.proxySettings = proxySettings;
        this.transport = transport;
        budget = new RetryBudget(proxySettings.retryRatio(), proxySettings.retryWindow(), proxySettings.retrySlack());
        controlSession = new ControlSession(environment, proxySettings, new ControlSession.Reader() {
            @Override
            public void configuration(Map<String, Object> whole) {
                Proxy.this.configuration(whole);
            }

            @Override
            public void members(List<Member> members) {
                crew(members);
            }

            @Override
            public void instances(List<Instance> instances) {
                instances.forEach(Proxy.this::runner);
            }

            @Override
            public void begins() {
                told.clear();
            }

            @Override
            public void over() {
                homes.clear();
            }
        });
    }

    public void begin() {
        controlSession.begin();
        turn();
    }

    /** It can serve: it knows a configuration, and the members that it is one of. */
    public boolean isReady() {
        return chart != null && !ending && crew.stream().anyMatch(m -> m.life().equals(controlSession.life()));
    }

    public boolean knowsConfiguration() {
        return chart != null;
    }

    public Configuration chart() {
        return chart;
    }

    /** Calls that have no final answer yet. */
    public int open() {
        return asking.size() + carried.size();
    }

    /** Nothing new is to come; what is here is carried on. What still waits for a slot after so long goes elsewhere. */
    public void end(long waits) {
        ending = true;
        controlSession.leave();
        environment.after(waits, () -> {
            turnsAway = true;
            List.copyOf(asking.values()).forEach(this::turnAway);
        });
    }

    /** The process ends now: who has no answer yet gets one, as true as what is known. */
    public void endNow() {
        turnsAway = true;
        List.copyOf(asking.values()).forEach(this::turnAway);
        for (Attempt attempt : List.copyOf(carried)) {
            giveUp(attempt.call, 502, 0, "the dispatcher ends while the runner is at work");
        }
    }

    private void turnAway(Request call) {
        giveUp(call, call.verdict == ExecutionStatus.NOT_RUN ? 503 : 502, 50, "the dispatcher ends");
    }

    /** After it stood still the slots it asked for may have been lent to it and taken back: it asks anew. */
    private void awake() {
        long now = environment.now();
        boolean stood = now - awakeAt > proxySettings.beat();
        awakeAt = now;
        if (stood) {
            List.copyOf(asking.values()).forEach(this::askAgain);
        }
    }

    // News of the core.

    private void configuration(Map<String, Object> whole) {
        try {
            Configuration next = new Configuration(new Fields(whole));
            // Never back within one life, whoever tells.
            chart = chart == null || next.revision() > chart.revision() ? next : chart;
            environment.note("configuration " + chart.revision() + " in force");
        } catch (InvalidConfiguration e) {
            environment.note("a configuration cannot be read: " + e.getMessage());
        }
    }

    private void runner(Instance r) {
        told.put(r.id(), r);
        runnerHosts.add(host(r));
        SlotAllocator home = isHome(r.service()) ? home(r.service()) : null;
        if (home != null) {
            home.heard(r, environment.now());
            tellEarly(home);
            tryBooting(home);
        }
        if (r.phase() == Instance.Phase.GONE) {
            told.remove(r.id());
            transport.forget(r.id());
        }
    }

    /**
     * ServiceOwnership move with the members: who is one no longer says what it has lent, and who becomes one
     * waits for that.
     */
    private void crew(List<Member> next) {
        Collection<Member> before = crew;
        crew = next;
        crewAt = environment.now();
        environment.note("crew of " + crew.size() + ": "
                + crew.stream().map(m -> m.name() + (m.leaving() ? "-" : "")).toList());
        long now = environment.now();
        for (SlotAllocator home : List.copyOf(homes.values())) {
            List<HeldSlot> loans = home.recrewed(now, proxySettings.beat() / 8);
            if (!isHome(home.service())) {
                loans = home.loans(now);
                homes.remove(home.service());
                told.values().removeIf(r -> r.service().equals(home.service()));
            }
            Map<String, List<HeldSlot>> heirs = new LinkedHashMap<>();
            for (HeldSlot loan : loans) {
                Instance r = told.get(loan.instance());
                Member heir = ServiceOwnership.of(home.service(), r == null ? proxySettings.zone() : r.zone(), crew);
                if (heir != null) {
                    heirs.computeIfAbsent(heir.host(), host -> new ArrayList<>())
                            .add(loan);
                }
            }
            heirs.forEach((host, list) -> environment.send(host, new SlotsHeld(list)));
        }
        // What we hold is told to the new homes.
        Map<String, List<HeldSlot>> held = new LinkedHashMap<>();
        for (Attempt a : carried) {
            Member was = ServiceOwnership.of(a.call.service, a.zone, before);
            Member is = ServiceOwnership.of(a.call.service, a.zone, crew);
            if (is != null && (was == null || !was.life().equals(is.life()))) {
                a.home = is;
                held.computeIfAbsent(is.host(), host -> new ArrayList<>())
                        .add(new HeldSlot(
                                a.call.service,
                                a.runner,
                                key(controlSession.life(), a.slot),
                                controlSession.life(),
                                Math.max(0, (a.until - now) / 1_000_000)));
            }
        }
        held.forEach((host, list) -> environment.send(host, new SlotsHeld(list)));
        Set<String> lives = new HashSet<>();
        crew.forEach(m -> lives.add(m.life()));
        for (Member m : before) {
            if (!lives.contains(m.life())) {
                homes.values().forEach(home -> home.gone(m.life(), now + proxySettings.beat() / 3));
                silent.remove(m.life());
                for (Request call : List.copyOf(asking.values())) {
                    if (call.home != null && call.home.life().equals(m.life())) {
                        askAgain(call);
                    }
                }
            }
        }
    }

    private static String host(Instance r) {
        return r.address().substring(0, Math.max(0, r.address().lastIndexOf(':')));
    }

    private boolean isHome(String service) {
        return isHome(service, proxySettings.zone())
                || told.values().stream().anyMatch(r -> r.service().equals(service) && isHome(service, r.zone()));
    }

    private boolean isHome(String service, String zone) {
        Member home = ServiceOwnership.of(service, zone, crew);
        return home != null && home.life().equals(controlSession.life());
    }

    private SlotAllocator home(String service) {
        return homes.computeIfAbsent(service, s -> {
            // Who was home before says what is out; the runners may come to be known only after the members.
            long opensAt = Math.max(
                    crewAt + proxySettings.beat() / 8,
                    environment.now()
                            + (told.values().stream().anyMatch(r -> r.service().equals(s))
                                    ? proxySettings.beat() / 8
                                    : 0));
            SlotAllocator home = new SlotAllocator(
                    s,
                    proxySettings.zone(),
                    probes,
                    environment.chance(),
                    r -> isHome(s, r.zone()),
                    new Lending(s),
                    opensAt);
            told.values().stream()
                    .filter(r -> r.service().equals(s))
                    .toList()
                    .forEach(r -> home.heard(r, environment.now()));
            tellEarly(home);
            environment.after(Math.max(0, opensAt - environment.now()), () -> home.turn(environment.now()));
            return home;
        });
    }

    private void tryBooting(SlotAllocator home) {
        Configuration.Service kind = chart == null ? null : chart.services().get(home.service());
        for (InstanceSlots berth : home.booting()) {
            if (!berth.trying) {
                berth.trying = true;
                // From the earliest that it may be up; each refusal is soon followed by another try.
                environment.after(kind == null ? 0 : kind.bootMs() * 400_000, () -> tryOne(home, berth));
            }
        }
    }

    private void tryOne(SlotAllocator home, InstanceSlots berth) {
        boolean still = homes.get(home.service()) == home
                && home.berth(berth.runner.id()) == berth
                && berth.runner.phase() == Instance.Phase.BOOTING;
        if (still) {
            transport.tryRunner(berth.runner.id(), berth.runner.address());
        } else {
            berth.trying = false;
        }
    }

    /** What came of a try whether a runner that is starting takes connections. */
    public void tried(String id, boolean up) {
        for (SlotAllocator home : homes.values()) {
            InstanceSlots berth = home.berth(id);
            if (berth != null && berth.runner.phase() == Instance.Phase.BOOTING) {
                if (up) {
                    berth.trying = false;
                    home.heard(berth.runner.at(Instance.Phase.READY), environment.now());
                    if (controlSession.controlNode() != null) {
                        environment.send(controlSession.controlNode(), new InstanceReady(id));
                    }
                } else {
                    environment.after(proxySettings.beat() / 24, () -> tryOne(home, berth));
                }
            }
        }
    }

    // Calls.

    /** Takes a call in; {@code leftNanos} is how long its client waits, {@code peer} where it comes from. */
    public Request arrived(String id, Configuration.Route route, long leftNanos, String peer, Object load) {
        long now = environment.now();
        boolean nested = runnerHosts.contains(peer);
        long until = now + Math.min(leftNanos - MARGIN, route.timeoutMs() * 1_000_000);
        Request call = new Request(id, route, service(route), load, nested ? NESTED : route.priority(), now, until);
        budget.first(call.service, now);
        call.limit = environment.after(Math.max(0, until - now), () -> overdue(call));
        ask(call);
        return call;
    }

    private String service(Configuration.Route route) {
        if (route.services().size() == 1) {
            return route.services().get(0);
        }
        double draw = environment.chance().nextDouble()
                * route.weights().stream().mapToDouble(w -> w).sum();
        for (int i = 0; i < route.services().size(); i++) {
            draw -= route.weights().get(i);
            if (draw < 0) {
                return route.services().get(i);
            }
        }
        return route.services().get(route.services().size() - 1);
    }

    /** The client has gone: nothing more is done for it. */
    public void left(Request call) {
        if (!call.over) {
            finish(call);
        }
    }

    private void overdue(Request call) {
        if (!call.over) {
            boolean unsent = call.verdict == ExecutionStatus.NOT_RUN && call.attempt == null;
            giveUp(call, unsent ? 503 : 504, 0, "not done in time");
        }
    }

    private void giveUp(Request call, int status, long pauseMillis, String why) {
        finish(call);
        transport.refuse(call, status, pauseMillis, why);
    }

    private void finish(Request call) {
        call.over = true;
        call.limit.run();
        stopAsking(call);
        if (call.attempt != null) {
            Attempt attempt = call.attempt;
            call.attempt = null;
            transport.abandon(attempt);
            giveBack(attempt, Attempt.End.ABANDONED);
        }
    }

    private void stopAsking(Request call) {
        if (call.ask != 0) {
            asking.remove(call.ask);
            call.timer.run();
            String key = key(controlSession.life(), call.ask);
            if (call.home != null && call.home.life().equals(controlSession.life())) {
                SlotAllocator home = homes.get(call.service);
                if (home != null) {
                    home.drop(key, environment.now());
                }
            } else if (call.home != null) {
                environment.send(call.home.host(), new SlotCancel(call.service, key));
            }
            call.ask = 0;
        }
    }

    private static String key(String life, long ask) {
        return life + "." + ask;
    }

    /** Asks a home for a slot: our zone's, or another's where ours does not answer. */
    private void ask(Request call) {
        Member home = homeFor(call);
        call.home = home;
        if (home == null) {
            giveUp(
                    call,
                    call.verdict == ExecutionStatus.NOT_RUN ? 503 : 502,
                    500,
                    "nobody lends slots for this service");
            return;
        }
        call.ask = ++asks;
        asking.put(call.ask, call);
        long number = call.ask;
        // A home answers at once, if only that the call waits; that is said again while it does.
        call.timer = environment.after(proxySettings.beat() / 10, () -> unanswered(call, number));
        boolean away = !home.zone().equals(proxySettings.zone());
        boolean counts = call.attempts == 0 && call.unreached.isEmpty() && !away || away && !call.unreached.isEmpty();
        call.hops = call.unreached.isEmpty() ? 0 : SlotAllocator.MOST_HOPS;
        sendAsk(call, counts);
    }

    private void sendAsk(Request call, boolean counts) {
        long now = environment.now();
        if (call.home.life().equals(controlSession.life())) {
            lend(
                    new SlotAllocator.Ask(
                            key(controlSession.life(), call.ask),
                            controlSession.life(),
                            null,
                            call.ask,
                            proxySettings.zone(),
                            call.until,
                            call.target,
                            call.priority,
                            call.avoided,
                            call.hops,
                            now),
                    call.service,
                    counts);
        } else {
            environment.send(
                    call.home.host(),
                    new SlotRequest(
                            call.ask,
                            call.service,
                            controlSession.life(),
                            proxySettings.zone(),
                            (call.until - now) / 1_000_000,
                            (call.target - now) / 1_000_000,
                            call.priority,
                            counts,
                            call.hops,
                            List.copyOf(call.avoided)));
        }
    }

    private Member homeFor(Request call) {
        long now = environment.now();
        Member own = ServiceOwnership.of(call.service, proxySettings.zone(), crew);
        if (usable(own, call, now)) {
            return own;
        }
        List<Member> far = new ArrayList<>();
        for (String zone : crew.stream().map(Member::zone).distinct().toList()) {
            Member each = ServiceOwnership.of(call.service, zone, crew);
            if (usable(each, call, now)) {
                far.add(each);
            }
        }
        return far.isEmpty() ? own : far.get(environment.chance().nextInt(far.size()));
    }

    private boolean usable(Member home, Request call, long now) {
        return home != null
                && !call.unreached.contains(home.zone())
                && (home.life().equals(controlSession.life())
                        ? controlSession.hasLease()
                        : silent.getOrDefault(home.life(), 0L) <= now);
    }

    private void unanswered(Request call, long number) {
        if (call.ask == number) {
            if (call.home != null) {
                if (!call.home.life().equals(controlSession.life())) {
                    silent.put(call.home.life(), environment.now() + proxySettings.beat() / 2);
                }
                call.unreached.add(call.home.zone());
            }
            askAgain(call);
        }
    }

    private void askAgain(Request call) {
        stopAsking(call);
        ask(call);
    }

    /** A connection to another process has ended: what was asked there is asked elsewhere. */
    public void unreachable(String host) {
        for (Request call : List.copyOf(asking.values())) {
            if (call.home != null
                    && call.home.host().equals(host)
                    && !call.home.life().equals(controlSession.life())) {
                unanswered(call, call.ask);
            }
        }
    }

    // What homes answer.

    private void lent(long number, Instance r) {
        Request call = asking.remove(number);
        if (call == null) {
            return;
        }
        call.timer.run();
        call.ask = 0;
        runnerHosts.add(host(r));
        Attempt attempt = new Attempt(call, r, call.home, number, environment.now());
        call.attempt = attempt;
        call.attempts++;
        carried.add(attempt);
        transport.carry(attempt);
    }

    private void waits(long number) {
        Request call = asking.get(number);
        if (call != null) {
            if (turnsAway) {
                turnAway(call);
                return;
            }
            call.timer.run();
            call.timer = environment.after(proxySettings.beat(), () -> unanswered(call, number));
        }
    }

    private void elsewhere(long number, String zone) {
        Request call = asking.get(number);
        if (call == null) {
            return;
        }
        Member there = ServiceOwnership.of(call.service, zone, crew);
        if (there == null || call.unreached.contains(zone)) {
            call.unreached.add(zone);
            askAgain(call);
            return;
        }
        asking.remove(number);
        call.timer.run();
        call.ask = ++asks;
        call.home = there;
        asking.put(call.ask, call);
        long next = call.ask;
        call.timer = environment.after(proxySettings.beat() / 10, () -> unanswered(call, next));
        call.hops++;
        sendAsk(call, false);
    }

    private void none(long number, long pauseMillis) {
        Request call = asking.get(number);
        if (call != null) {
            giveUp(
                    call,
                    call.verdict == ExecutionStatus.NOT_RUN ? 503 : 502,
                    pauseMillis,
                    "no runner can take it in time");
        }
    }

    /** An attempt has ended, in whatever way; only one that we abandoned is not told here. */
    public void ended(Attempt attempt, Attempt.End end) {
        if (attempt.over) {
            return;
        }
        giveBack(attempt, end);
        Request call = attempt.call;
        if (call.over) {
            return;
        }
        call.attempt = null;
        call.verdict = call.verdict.and(end.verdict());
        if (end == Attempt.End.ANSWERED) {
            call.over = true;
            call.limit.run();
            transport.deliver(attempt);
            return;
        }
        call.avoided.add(attempt.runner);
        boolean arrived = end == Attempt.End.TURNED_AWAY || end == Attempt.End.BROKEN || end == Attempt.End.MISDIRECTED;
        boolean again = call.verdict.allowsAnother(call.route.idempotent())
                && (end.verdict() == ExecutionStatus.NOT_RUN
                        ? call.attempts < MOST_MOVES
                        : call.attempts < call.route.maxAttempts())
                && (!arrived || budget.further(call.service, environment.now(), crew.size()));
        if (again) {
            ask(call);
        } else if (call.verdict == ExecutionStatus.NOT_RUN) {
            giveUp(call, 503, 100, "no runner took it");
        } else {
            giveUp(call, 502, 0, "the runner's answer is lost");
        }
    }

    private void giveBack(Attempt attempt, Attempt.End end) {
        attempt.over = true;
        carried.remove(attempt);
        long ran = environment.now() - attempt.sentAt;
        String key = key(controlSession.life(), attempt.slot);
        if (attempt.home.life().equals(controlSession.life())) {
            SlotAllocator home = homes.get(attempt.call.service);
            if (home != null) {
                back(home, key, attempt.runner, end, ran);
            }
        } else {
            environment.send(
                    attempt.home.host(),
                    new SlotReturn(attempt.call.service, key, attempt.runner, end.ordinal(), ran / 1000));
        }
    }

    private void back(SlotAllocator home, String key, String runner, Attempt.End end, long ran) {
        home.back(key, runner, end, ran, environment.now());
        if (end == Attempt.End.ABANDONED) {
            environment.after(SlotAllocator.SETTLES + 1, () -> home.turn(environment.now()));
        }
    }

    // Lending.

    private void lend(SlotAllocator.Ask ask, String service, boolean counts) {
        if (!isHome(service) || !controlSession.hasLease() || chart == null) {
            if (ask.host == null) {
                Request call = asking.get(ask.number);
                if (call != null) {
                    call.unreached.add(proxySettings.zone());
                    environment.after(Environment.millis(20), () -> {
                        if (call.ask == ask.number) {
                            askAgain(call);
                        }
                    });
                }
            }
            return; // another asks elsewhere when it hears nothing
        }
        SlotAllocator home = home(service);
        home.ask(ask, counts, chart.services().get(service), environment.now());
        if (home.waiting() > 0 && !home.hasRunners()) {
            tellNeeds();
        }
    }

    private final class Lending implements SlotAllocator.Lender {
        private final String service;

        Lending(String service) {
            this.service = service;
        }

        @Override
        public void lend(SlotAllocator.Ask ask, Instance r) {
            if (ask.host == null) {
                environment.after(0, () -> lentHere(ask, r));
            } else {
                environment.send(ask.host, new SlotGrant(ask.number, r));
            }
        }

        private void lentHere(SlotAllocator.Ask ask, Instance r) {
            if (asking.containsKey(ask.number)) {
                lent(ask.number, r);
            }
        }

        @Override
        public boolean mayLend() {
            return controlSession.hasLease();
        }

        @Override
        public void waits(SlotAllocator.Ask ask) {
            if (ask.host == null) {
                Proxy.this.waits(ask.number);
            } else {
                environment.send(ask.host, new SlotQueued(ask.number));
            }
        }

        @Override
        public void elsewhere(SlotAllocator.Ask ask, String zone) {
            if (ask.host == null) {
                environment.after(0, () -> Proxy.this.elsewhere(ask.number, zone));
            } else {
                environment.send(ask.host, new SlotElsewhere(ask.number, zone));
            }
        }

        @Override
        public void none(SlotAllocator.Ask ask, long pauseMillis) {
            if (ask.host == null) {
                environment.after(0, () -> Proxy.this.none(ask.number, pauseMillis));
            } else {
                environment.send(ask.host, new SlotRefusal(ask.number, pauseMillis));
            }
        }
    }

    // Messages of other processes.

    /** Takes a message; {@code from} is the host of its sender. */
    public void message(String from, Message message) throws MalformedMessage {
        awake();
        if (message instanceof SlotMessage slot) {
            slotMessage(from, slot);
        } else if (message instanceof SessionMessage session) {
            controlSession.message(from, session);
        } else {
            throw new MalformedMessage("message " + message.kind() + " is not for a proxy");
        }
    }

    private void slotMessage(String from, SlotMessage message) {
        if (message instanceof SlotRequest request) {
            requested(from, request);
        } else if (message instanceof SlotGrant grant) {
            lent(grant.number(), grant.instance());
        } else if (message instanceof SlotQueued queued) {
            waits(queued.number());
        } else if (message instanceof SlotElsewhere elsewhere) {
            elsewhere(elsewhere.number(), elsewhere.zone());
        } else if (message instanceof SlotRefusal refusal) {
            none(refusal.number(), refusal.pauseMillis());
        } else if (message instanceof SlotCancel cancel) {
            SlotAllocator home = homes.get(cancel.service());
            if (home != null) {
                home.drop(cancel.key(), environment.now());
            }
        } else if (message instanceof SlotReturn returned) {
            returned(returned);
        } else if (message instanceof SlotsHeld held) {
            held(held);
        }
    }

    private void requested(String from, SlotRequest request) {
        long now = environment.now();
        SlotAllocator.Ask ask = new SlotAllocator.Ask(
                key(request.life(), request.number()),
                request.life(),
                from,
                request.number(),
                request.zone(),
                now + request.untilMillis() * 1_000_000,
                now + request.targetMillis() * 1_000_000,
                request.priority(),
                new HashSet<>(request.avoided()),
                request.hops(),
                now);
        lend(ask, request.service(), request.counts());
    }

    private void returned(SlotReturn returned) {
        SlotAllocator home = homes.get(returned.service());
        early.remove(returned.key());
        if (home != null && returned.outcome() < Attempt.End.values().length) {
            back(
                    home,
                    returned.key(),
                    returned.instance(),
                    Attempt.End.values()[returned.outcome()],
                    returned.ranMicros() * 1000);
        }
    }

    private void held(SlotsHeld message) {
        for (HeldSlot slot : message.slots()) {
            Held one = new Held(slot.instance(), slot.life(), environment.now() + slot.leftMillis() * 1_000_000);
            if (!isHome(slot.service()) || !tell(home(slot.service()), slot.key(), one)) {
                early.put(slot.key(), one);
            }
        }
    }

    private boolean tell(SlotAllocator home, String key, Held one) {
        if (home.berth(one.runner) == null) {
            return false;
        }
        home.held(key, one.life, one.runner, one.until, environment.now());
        return true;
    }

    /** Loans of which we heard before we knew the runner. */
    private void tellEarly(SlotAllocator home) {
        early.entrySet().removeIf(e -> tell(home, e.getKey(), e.getValue()));
    }

    // The turn.

    private void turn() {
        awake();
        environment.after(proxySettings.beat() / 6, this::turn);
        long now = environment.now();
        homes.values().forEach(home -> {
            home.turn(now);
            tryBooting(home);
        });
        homes.values().removeIf(SlotAllocator::isIdle);
        early.values().removeIf(one -> one.until <= now);
        for (SlotAllocator home : homes.values()) {
            home.sayWaits(now, proxySettings.beat() / 3);
        }
        tellNeeds();
    }

    private void tellNeeds() {
        List<Demand> needs = new ArrayList<>();
        for (SlotAllocator home : homes.values()) {
            Demand need = home.need(environment.now());
            if (need != null) {
                needs.add(need);
            }
        }
        if ((needed || !needs.isEmpty()) && controlSession.controlNode() != null) {
            environment.send(controlSession.controlNode(), new DemandReport(controlSession.life(), needs, false));
        }
        needed = !needs.isEmpty();
    }
}
