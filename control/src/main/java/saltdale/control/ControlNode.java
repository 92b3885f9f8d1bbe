package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One machine of the core: takes part in what is agreed, keeps the leases of dispatchers, hands them the news they
 * need, and, while it holds the duty, starts and stops runners. No I/O and no clock of its own.
 */
public final class ControlNode {
    /** An answer to an operator. */
    public record Reply(int status, String why, byte[] body) {}

    private static final class Peer {
        final String host;
        String id; // null until heard
        String name;
        String life;
        boolean leaving;
        long heardAt;
        long ackedSentAt = Long.MIN_VALUE / 2;
        final Map<Long, Long> sentAt = new LinkedHashMap<>();

        Peer(String host) {
            this.host = host;
        }
    }

    /** A dispatcher that takes its news here. */
    private static final class Subscriber {
        final String host;
        final String session;
        Member member;
        long heardAt;
        long sent; // messages of this session
        long revision = -1;
        long crew = -1;
        long runners = -1;
        long homesOf = -1;
        final Map<String, Instance.Phase> told = new HashMap<>();

        Subscriber(String host, String session) {
            this.host = host;
            this.session = session;
        }
    }

    static final String STARTING = "starting";
    private static final long SOON = Environment.millis(5); // several that come at once are told of once
    private static final String IDENTITY = "identity";
    private static final String BEGUN = "begun"; // the state from which all began

    private final Environment environment;
    private final ControlNodeSettings nodeSettings;
    private final String id;
    private final String life;
    private final ReplicatedRegister register;
    private final InstanceLifecycle instanceLifecycle;
    private final MembershipTable members;
    private final InstanceTable runners;
    private final Demand demand;
    private final Map<String, Peer> peers = new LinkedHashMap<>(); // by host
    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>(); // by life
    private final long startedAt;
    private long beats;
    private boolean proposing;
    private boolean ending;
    private boolean hadMajority;
    private long majoritySince;
    private boolean spreading;
    private Configuration chart;
    private Map<String, Object> configurationTree;

    /** {@code records} are those on disk; where there are none the control node is new, or has lost them. */
    public ControlNode(
            Environment environment, ControlNodeSettings nodeSettings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        this.environment = environment;
        this.nodeSettings = nodeSettings;
        startedAt = environment.now();
        life = Long.toHexString(environment.chance().nextLong());
        boolean first = nodeSettings.firstStart()
                && records.isEmpty()
                && nodeSettings.seeds().contains(nodeSettings.host());
        id = records.containsKey(IDENTITY)
                ? new String(records.get(IDENTITY), StandardCharsets.UTF_8)
                : first
                        ? Voter.firstId(nodeSettings.host())
                        : Long.toHexString(environment.chance().nextLong());
        register = new ReplicatedRegister(environment, id, life, this::chosen);
        members = new MembershipTable(nodeSettings.memberLease() + nodeSettings.beat() * 3 / 10);
        runners = new InstanceTable(8 * nodeSettings.beat(), 40 * nodeSettings.beat());
        demand = new Demand(3 * nodeSettings.beat());
        instanceLifecycle = new InstanceLifecycle(environment, this, platform, nodeSettings);
        register.restore(records);
        ReplicatedState begun = nodeSettings.firstStart()
                ? ReplicatedState.first(nodeSettings.seeds().stream()
                        .sorted()
                        .map(host -> new Voter(Voter.firstId(host), host, host))
                        .toList())
                : records.containsKey(BEGUN)
                        ? ReplicatedState.of(new Fields(Trees.fromCbor(records.get(BEGUN))))
                        : null;
        if (begun != null) {
            register.first(begun);
        }
        nodeSettings.seeds().stream()
                .filter(host -> !host.equals(nodeSettings.host()))
                .forEach(this::peer);
        if (!records.containsKey(IDENTITY)) {
            Map<String, byte[]> own = new HashMap<>(Map.of(IDENTITY, id.getBytes(StandardCharsets.UTF_8)));
            if (begun != null) {
                // Guards against all being killed before any has accepted a state: none would know whom to ask.
                own.put(BEGUN, Trees.cbor(begun.tree()));
            }
            environment.persist(own, done -> {});
        }
    }

    public void begin() {
        beat();
        tick();
        instanceLifecycle.begin();
    }

    // What others of the program see.

    String id() {
        return id;
    }

    String name() {
        return nodeSettings.name();
    }

    ReplicatedRegister register() {
        return register;
    }

    InstanceTable runners() {
        return runners;
    }

    Demand demand() {
        return demand;
    }

    Configuration chart() {
        return chart;
    }

    int controlNodes() {
        return register.basis() == null ? 1 : register.basis().voters().size();
    }

    /** Who holds the duty is named with its life: one that began anew has forgotten what it was about. */
    String holder() {
        return id + "/" + life;
    }

    /** Whether this control node holds the duty and knows that nobody can have taken it over. */
    boolean holds() {
        ReplicatedState state = register.chosen();
        return state != null && holder().equals(state.duty(STARTING).holder()) && hasMajority();
    }

    long fence() {
        return register.chosen().duty(STARTING).fence();
    }

    /** Whether a majority of voters answered what was sent within the lease; a process that stood still has none. */
    public boolean hasMajority() {
        return majorityAt() > environment.now() - nodeSettings.lease();
    }

    /** When that was sent which a majority of voters has answered. */
    private long majorityAt() {
        ReplicatedState basis = register.basis();
        long at = basis == null ? Long.MIN_VALUE / 2 : environment.now();
        for (List<Voter> set : basis == null ? List.<List<Voter>>of() : basis.quorums()) {
            List<Long> heard = new ArrayList<>();
            for (Voter v : set) {
                heard.add(
                        v.id().equals(id)
                                ? environment.now()
                                : peers.values().stream()
                                        .filter(p -> v.id().equals(p.id))
                                        .mapToLong(p -> p.ackedSentAt)
                                        .max()
                                        .orElse(Long.MIN_VALUE / 2));
            }
            heard.sort(null);
            at = Math.min(at, heard.get((heard.size() - 1) / 2));
        }
        return at;
    }

    private Peer peer(String host) {
        return peers.computeIfAbsent(host, Peer::new);
    }

    // Beats.

    private void beat() {
        sayBeat();
        environment.after(nodeSettings.beat() / 3, this::beat);
    }

    /** Others hear soon who has come or gone: homes that know it at different times lend the same slots. */
    private void crewChanged() {
        if (!spreading) {
            spreading = true;
            environment.after(SOON, () -> {
                spreading = false;
                publish();
                sayBeat();
            });
        }
    }

    private void sayBeat() {
        beats++;
        ReplicatedState basis = register.basis();
        Set<String> to = new LinkedHashSet<>(peers.keySet());
        if (basis != null) {
            basis.quorums().forEach(set -> set.forEach(v -> to.add(v.host())));
        }
        to.remove(nodeSettings.host());
        List<Object> news = members.news();
        long now = environment.now();
        List<Object> over = members.over(now);
        for (String host : to) {
            Peer peer = peer(host);
            peer.sentAt.put(beats, now);
            peer.sentAt.values().removeIf(at -> now - at > 4 * nodeSettings.beat());
            environment.send(
                    host,
                    Fields.tree(
                            "t",
                            "beat",
                            "id",
                            id,
                            "n",
                            nodeSettings.name(),
                            "h",
                            nodeSettings.host(),
                            "l",
                            life,
                            "i",
                            beats,
                            "v",
                            version(),
                            "e",
                            ending ? true : null,
                            "m",
                            news.isEmpty() ? null : news,
                            "o",
                            over.isEmpty() ? null : over));
        }
        peers.values()
                .removeIf(p -> !nodeSettings.seeds().contains(p.host)
                        && now - p.heardAt > 60 * nodeSettings.beat()
                        && (basis == null
                                || basis.quorums().stream()
                                        .flatMap(List::stream)
                                        .noneMatch(v -> v.host().equals(p.host))));
    }

    private long version() {
        return register.chosen() == null ? -1 : register.chosen().version();
    }

    private void beaten(Fields message) throws MalformedMessage {
        Peer peer = heard(message);
        long edition = members.edition();
        members.merge(message.list("m"), environment.now());
        members.areOver(message.texts("o"), environment.now());
        if (members.edition() != edition) {
            publish();
        }
        peer.leaving = message.flag("e");
        environment.send(
                peer.host,
                Fields.tree(
                        "t",
                        "beaten",
                        "id",
                        id,
                        "n",
                        nodeSettings.name(),
                        "h",
                        nodeSettings.host(),
                        "l",
                        life,
                        "i",
                        message.whole("i"),
                        "v",
                        version()));
    }

    private Peer heard(Fields message) throws MalformedMessage {
        Peer peer = peer(message.text("h"));
        peer.id = message.text("id");
        peer.name = message.text("n");
        peer.life = message.text("l");
        peer.heardAt = environment.now();
        if (message.whole("v") > version()) {
            register.fetch(peer.host); // the sweep: whoever is behind fetches what it missed
        }
        return peer;
    }

    // Messages from other processes.

    /** Takes a message; {@code fromHost} is where its sender can be reached. */
    public void message(String fromHost, Fields message) throws MalformedMessage {
        switch (message.text("t")) {
            case "beat" -> beaten(message);
            case "beaten" -> {
                Peer peer = heard(message);
                Long sent = peer.sentAt.remove(message.whole("i"));
                peer.ackedSentAt = sent == null ? peer.ackedSentAt : Math.max(peer.ackedSentAt, sent);
            }
            case "renew" -> renewed(fromHost, message);
            case "want" -> wanted(message);
            case "up" -> {
                Instance r = runners.get(message.text("r"));
                if (r != null && r.phase() == Instance.Phase.BOOTING) {
                    changed(List.of(r.at(Instance.Phase.READY)), true);
                }
            }
            case "runners" -> {
                List<Instance> copies = new ArrayList<>();
                for (Object each : message.list("l")) {
                    copies.add(Instance.of(each));
                }
                changed(copies, false);
            }
            case "intents" -> instanceLifecycle.told(message);
            default -> {
                register.message(message.text("f", ""), fromHost, message);
            }
        }
    }

    /** Sends to all other control nodes. */
    void tellControlNodes(Map<String, Object> message) {
        peers.keySet().forEach(host -> environment.send(host, message));
    }

    /** Merges copies of runners; news of our own goes to the other control nodes too. */
    void changed(List<Instance> copies, boolean tell) {
        List<Object> fresh = new ArrayList<>();
        for (Instance copy : copies) {
            if (runners.merge(copy, environment.now())) {
                fresh.add(copy.tree());
            }
        }
        if (!fresh.isEmpty()) {
            if (tell) {
                tellControlNodes(Fields.tree("t", "runners", "l", fresh));
            }
            publish();
        }
    }

    private void wanted(Fields message) throws MalformedMessage {
        String from = message.text("l");
        demand.said(from, message.list("w"), environment.now());
        if (!message.flag("fwd")) {
            ReplicatedState state = register.chosen();
            String holder = state == null ? null : state.duty(STARTING).holder();
            for (Peer peer : peers.values()) {
                if (holder != null && holder.equals(peer.id + "/" + peer.life)) {
                    environment.send(
                            peer.host, Fields.tree("t", "want", "l", from, "w", message.list("w"), "fwd", true));
                }
            }
        }
        instanceLifecycle.look();
    }

    // Dispatchers: leases and news.

    private void renewed(String fromHost, Fields message) throws MalformedMessage {
        Member member = Member.of(message.list("m"));
        String session = message.text("s");
        long revision = message.whole("r");
        long now = environment.now();
        long edition = members.edition();
        members.renewed(member, message.whole("i"), now, true);
        if (members.edition() != edition) {
            crewChanged();
        }
        boolean over = members.of(member.life()) == null;
        Subscriber subscriber = subscribers.get(member.life());
        if (over) {
            subscribers.remove(member.life());
            environment.send(fromHost, Fields.tree("t", "lease", "i", message.whole("i"), "over", true));
            return;
        }
        if (subscriber == null || !subscriber.session.equals(session)) {
            subscriber = new Subscriber(fromHost, session);
            subscriber.revision = revision;
            subscribers.put(member.life(), subscriber);
        }
        subscriber.member = member;
        subscriber.heardAt = now;
        publish(subscriber);
        environment.send(
                fromHost,
                Fields.tree(
                        "t",
                        "lease",
                        "i",
                        message.whole("i"),
                        "maj",
                        hasMajority(),
                        "v",
                        Math.max(0, (majorityAt() - now + nodeSettings.memberLease()) / 1_000_000),
                        "s",
                        subscriber.session,
                        "c",
                        subscriber.sent,
                        "k",
                        controlNodeHosts()));
    }

    /** Where dispatchers find control nodes. */
    private List<Object> controlNodeHosts() {
        ReplicatedState basis = register.basis();
        return basis == null
                ? List.of(nodeSettings.host())
                : new ArrayList<>(basis.voters().stream().map(Voter::host).toList());
    }

    void publish() {
        subscribers.values().removeIf(s -> environment.now() - s.heardAt > 4 * nodeSettings.beat());
        subscribers.values().forEach(this::publish);
    }

    private void publish(Subscriber to) {
        if (chart == null) {
            return;
        }
        if (to.revision < chart.revision()) {
            to.revision = chart.revision();
            tell(to, Fields.tree("t", "chart", "c", configurationTree));
        }
        if (to.crew != members.edition()) {
            to.crew = members.edition();
            tell(
                    to,
                    Fields.tree(
                            "t",
                            "crew",
                            "m",
                            new ArrayList<>(
                                    members.all().stream().map(Member::tree).toList())));
        }
        if (to.runners != runners.edition() || to.homesOf != members.edition()) {
            publishRunners(to);
        }
    }

    /** Of the runners, a dispatcher is told those of services that it is home to. */
    private void publishRunners(Subscriber to) {
        boolean moved = to.homesOf != members.edition();
        List<Instance> look = moved ? new ArrayList<>(runners.all()) : runners.since(to.runners);
        List<Object> news = new ArrayList<>();
        Map<String, Boolean> homes = new HashMap<>();
        for (Instance r : look) {
            boolean home = homes.computeIfAbsent(r.service(), s -> isHome(s, to.member.zone(), to))
                    || homes.computeIfAbsent(r.service() + "@" + r.zone(), s -> isHome(r.service(), r.zone(), to));
            Instance.Phase told = to.told.get(r.id());
            if (home && r.phase() != told && (told != null || r.phase() != Instance.Phase.GONE)) {
                to.told.put(r.id(), r.phase());
                news.add(r.tree());
            } else if (!home && told != null) {
                to.told.remove(r.id()); // its next home is told; this one forgets it with its homes
            }
        }
        to.runners = runners.edition();
        to.homesOf = members.edition();
        if (!news.isEmpty()) {
            tell(to, Fields.tree("t", "runners", "l", news));
        }
    }

    private boolean isHome(String service, String zone, Subscriber who) {
        Member home = ServiceOwnership.of(service, zone, members.all());
        return home != null && home.life().equals(who.member.life());
    }

    private void tell(Subscriber to, Map<String, Object> message) {
        message.put("s", to.session);
        message.put("#", ++to.sent);
        environment.send(to.host, message);
    }

    // The configuration.

    private void chosen(ReplicatedState state, byte[] text) {
        environment.note("chosen " + state.version() + ": revision " + state.revision() + ", voters "
                + state.voters().stream().map(Voter::host).toList() + (state.isJoint() ? " (joint)" : "") + ", "
                + state.duties());
        if (text != null && (chart == null || state.revision() > chart.revision())) {
            try {
                Map<String, Object> tree = ConfigurationCodec.read(text);
                chart = new Configuration(new Fields(tree));
                configurationTree = tree;
            } catch (InvalidConfiguration e) {
                environment.note("revision " + state.revision() + " cannot be read: " + e.getMessage());
            }
        }
        publish();
        instanceLifecycle.look();
    }

    /** Replaces the whole configuration, or amends it. */
    public void change(boolean amends, String basedOn, byte[] body, Consumer<Reply> answer) {
        long base;
        Map<String, Object> tree;
        try {
            base = Long.parseLong(basedOn == null ? "" : basedOn.strip());
            tree = ConfigurationCodec.read(body);
            if (!amends) {
                new Configuration(new Fields(tree));
            }
        } catch (NumberFormatException e) {
            answer.accept(new Reply(400, "X-Saltdale-Based-On-Version is missing or no number", null));
            return;
        } catch (InvalidConfiguration e) {
            answer.accept(new Reply(400, e.getMessage(), null));
            return;
        }
        String digest = ConfigurationCodec.digest(
                new byte[] {(byte) (amends ? 1 : 0)}, Long.toString(base).getBytes(StandardCharsets.UTF_8), body);
        register.propose(
                (newest, text) -> change(newest, text, amends, base, tree, digest),
                patience(),
                reply -> answer.accept(reply == null ? unsettled() : (Reply) reply));
    }

    private static Proposer.Step change(
            ReplicatedState newest, byte[] text, boolean amends, long base, Map<String, Object> tree, String digest) {
        if (newest.taken().contains(digest)) {
            return Proposer.Step.stay(new Reply(200, "taken", null));
        } else if (base != newest.revision()) {
            return Proposer.Step.stay(new Reply(412, "revision " + newest.revision() + " is in place", null));
        }
        try {
            Map<String, Object> whole = !amends
                    ? tree
                    : ConfigurationCodec.amended(
                            text == null ? Map.of() : ConfigurationCodec.read(text), new Fields(tree));
            Configuration next = new Configuration(new Fields(whole));
            if (next.revision() <= newest.revision()) {
                throw new InvalidConfiguration("revision is not above " + newest.revision());
            }
            byte[] newText = ConfigurationCodec.write(whole);
            String key = next.revision() + "-" + ConfigurationCodec.digest(newText);
            return new Proposer.Step(
                    newest.withText(next.revision(), key, digest), newText, new Reply(200, "taken", null));
        } catch (InvalidConfiguration e) {
            return Proposer.Step.stay(new Reply(400, e.getMessage(), null));
        }
    }

    /** Tells the newest configuration, as a majority knows it. */
    public void read(Consumer<Reply> answer) {
        register.propose(
                (newest, text) -> Proposer.Step.stay(new Reply(
                        200,
                        "",
                        text == null
                                ? "{\"revision\":0,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8)
                                : text)),
                patience(),
                reply -> answer.accept(reply == null ? unsettled() : (Reply) reply));
    }

    /** Who has no majority says so soon, so that the caller goes to another. */
    private long patience() {
        return hasMajority() ? nodeSettings.acknowledge() * 3 / 5 : nodeSettings.acknowledge() / 5;
    }

    private static Reply unsettled() {
        return new Reply(503, "no majority of the core answered in time", null);
    }

    // Duties and voters.

    private void tick() {
        environment.after(nodeSettings.beat() / 6, this::tick);
        long now = environment.now();
        boolean had = hadMajority;
        hadMajority = hasMajority();
        majoritySince = had ? majoritySince : now;
        long edition = members.edition();
        // Guards against a control node that stood still or was cut off: all renewals it missed come to it first.
        if (hadMajority && now - majoritySince > nodeSettings.beat()) {
            members.expire(now);
        }
        if (members.edition() != edition) {
            crewChanged();
        }
        if (had && !hadMajority) {
            subscribers.values().forEach(s -> environment.send(s.host, Fields.tree("t", "alone")));
        }
        if (proposing || register.basis() == null) {
            return;
        }
        if (register.chosen() == null) {
            // After a start: what is chosen is known only once a majority was asked.
            propose((newest, text) -> Proposer.Step.stay(Boolean.TRUE));
        } else if (hasMajority() && !ending) {
            ReplicatedState state = register.chosen();
            // Guards against a holder that nobody makes a voter again: one whose disk was lost leaves the duty to
            // others.
            if (nodeSettings.rates().duties().contains(STARTING) && state.isVoter(id) && vacant(state)) {
                DutyLease seen = state.duty(STARTING);
                propose((newest, text) -> newest.duty(STARTING).fence() != seen.fence()
                        ? Proposer.Step.stay(null)
                        : new Proposer.Step(
                                newest.withDuty(
                                        STARTING, new DutyLease(holder(), nodeSettings.name(), seen.fence() + 1)),
                                null,
                                Boolean.TRUE));
            } else if (!state.isJoint() && (holds() || vacant(state))) {
                List<Voter> next = votersNext(state, now);
                if (!next.equals(state.voters())) {
                    propose((newest, text) ->
                            newest.isJoint() || !newest.voters().equals(state.voters())
                                    ? Proposer.Step.stay(null)
                                    : new Proposer.Step(newest.withVoters(next), null, Boolean.TRUE));
                }
            }
        }
    }

    private void propose(Proposer.Change change) {
        proposing = true;
        // Guards against all control nodes at once: the first one's ballot spares the others theirs.
        environment.after(
                (long) (nodeSettings.beat() / 8 * environment.chance().nextDouble()),
                () -> register.propose(change, nodeSettings.beat(), done -> proposing = false));
    }

    private boolean vacant(ReplicatedState state) {
        String holder = state.duty(STARTING).holder();
        if (holder == null) {
            return true;
        } else if (holder.startsWith(id + "/")) {
            return !holder.equals(holder());
        }
        for (Peer peer : peers.values()) {
            if (peer.id != null && holder.startsWith(peer.id + "/")) {
                return !holder.equals(peer.id + "/" + peer.life) || unheard(peer.heardAt);
            }
        }
        return unheard(startedAt);
    }

    private boolean unheard(long heardAt) {
        return environment.now() - Math.max(heardAt, startedAt) > nodeSettings.vacancy();
    }

    /**
     * The voters to have: one whose disk was lost, or that is gone, gives its place to a new control node; pairs are
     * added.
     */
    private List<Voter> votersNext(ReplicatedState state, long now) {
        List<Peer> candidates = new ArrayList<>(peers.values().stream()
                .filter(p ->
                        p.id != null && !p.leaving && now - p.heardAt < nodeSettings.lease() && !state.isVoter(p.id))
                .toList());
        List<Voter> voters = new ArrayList<>(state.voters());
        for (int i = 0; i < voters.size(); i++) {
            Voter old = voters.get(i);
            Peer same = candidates.stream()
                    .filter(p -> p.host.equals(old.host()))
                    .findAny()
                    .orElse(null);
            if (same != null) {
                voters.set(i, voter(same));
                candidates.remove(same);
            }
        }
        for (int i = 0; i < voters.size() && !candidates.isEmpty(); i++) {
            Voter old = voters.get(i);
            Peer its = peers.get(old.host());
            boolean gone = !old.id().equals(id)
                    && (its == null
                            || its.leaving
                            || unheard(its.id != null && its.id.equals(old.id()) ? its.heardAt : 0));
            if (gone) {
                voters.set(i, voter(candidates.remove(0)));
            }
        }
        if (candidates.size() >= 2 && voters.size() + 2 <= MOST_VOTERS) {
            voters.add(voter(candidates.get(0)));
            voters.add(voter(candidates.get(1)));
        }
        return voters;
    }

    /** More voters than this make each ballot dearer and bear no more losses than a deployment asks for. */
    private static final int MOST_VOTERS = 7;

    private static Voter voter(Peer peer) {
        return new Voter(peer.id, peer.name, peer.host);
    }

    /** Ends in order: others may take over its duties and its place at once. */
    public void end(Runnable done) {
        ending = true;
        beat();
        ReplicatedState state = register.chosen();
        if (state != null && holder().equals(state.duty(STARTING).holder())) {
            DutyLease mine = state.duty(STARTING);
            register.propose(
                    (newest, text) -> !mine.equals(newest.duty(STARTING))
                            ? Proposer.Step.stay(null)
                            : new Proposer.Step(
                                    newest.withDuty(STARTING, new DutyLease(null, null, mine.fence())),
                                    null,
                                    Boolean.TRUE),
                    nodeSettings.beat(),
                    answer -> done.run());
        } else {
            done.run();
        }
    }
}
