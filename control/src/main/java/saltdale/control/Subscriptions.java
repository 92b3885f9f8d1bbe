package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import saltdale.control.message.SessionMessage.ConfigurationNews;
import saltdale.control.message.SessionMessage.InstancesNews;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.MembersNews;
import saltdale.control.message.SessionMessage.News;
import saltdale.control.message.SessionMessage.QuorumLost;

/** The sessions of the proxies that take their news from this control node: each is sent what it does not have yet. */
final class Subscriptions {
    /** Makes one piece of news of a session, given its number. */
    private interface Numbered {
        News of(long number);
    }

    private static final class Subscriber {
        final String host;
        final String session;
        Member member;
        long heardAt;
        long sent; // pieces of news in this session
        long revision;
        long members = -1; // the edition of the membership that it was sent
        long instances = -1; // the edition of the instances
        long ownedOf = -1; // the edition of the membership by which its instances were chosen
        final Map<String, Instance.Phase> told = new HashMap<>(); // by instance

        Subscriber(String host, String session, long revision) {
            this.host = host;
            this.session = session;
            this.revision = revision;
        }
    }

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ConfigurationService configurations;
    private final MembershipTable members;
    private final InstanceTable instances;
    private final BooleanSupplier isCurrent;
    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>(); // by life

    /** {@code isCurrent}: whether what is known here is the newest, as far as the lease goes. */
    Subscriptions(
            Environment environment,
            ControlNodeSettings settings,
            ConfigurationService configurations,
            MembershipTable members,
            InstanceTable instances,
            BooleanSupplier isCurrent) {
        this.environment = environment;
        this.settings = settings;
        this.configurations = configurations;
        this.members = members;
        this.instances = instances;
        this.isCurrent = isCurrent;
    }

    /** A member has renewed its lease here; returns how many pieces of news its session was sent. */
    long renewed(String fromHost, LeaseRenewal renewal) {
        String life = renewal.member().life();
        Subscriber subscriber = subscribers.get(life);
        if (subscriber == null || !subscriber.session.equals(renewal.session())) {
            subscriber = new Subscriber(fromHost, renewal.session(), renewal.revision());
            subscribers.put(life, subscriber);
        }
        subscriber.member = renewal.member();
        subscriber.heardAt = environment.now();
        publish(subscriber);
        return subscriber.sent;
    }

    /** The life is over: it takes no more news. */
    void end(String life) {
        subscribers.remove(life);
    }

    /** Tells all that this control node may not know the newest any more. */
    void tellQuorumLost() {
        subscribers.values().forEach(subscriber -> environment.send(subscriber.host, new QuorumLost()));
    }

    /** Sends each what has changed for it. */
    void publish() {
        long now = environment.now();
        subscribers.values().removeIf(subscriber -> now - subscriber.heardAt > 4 * settings.beat());
        subscribers.values().forEach(this::publish);
    }

    private void publish(Subscriber to) {
        Configuration configuration = configurations.current();
        if (configuration == null) {
            return;
        }
        // Without a majority nothing old is handed out; instances are: the platform tells of those itself.
        boolean current = isCurrent.getAsBoolean();
        if (current && to.revision < configuration.revision()) {
            to.revision = configuration.revision();
            tell(to, number -> new ConfigurationNews(to.session, number, configurations.currentTree()));
        }
        if (current && to.members != members.edition()) {
            to.members = members.edition();
            tell(to, number -> new MembersNews(to.session, number, List.copyOf(members.all())));
        }
        if (to.instances != instances.edition() || to.ownedOf != members.edition()) {
            publishInstances(to);
        }
    }

    /** Of the instances, a proxy is told those of services that it owns. */
    private void publishInstances(Subscriber to) {
        boolean moved = to.ownedOf != members.edition();
        List<Instance> candidates = moved ? new ArrayList<>(instances.all()) : instances.since(to.instances);
        List<Instance> news = new ArrayList<>();
        Map<String, Boolean> owned = new HashMap<>();
        for (Instance instance : candidates) {
            String service = instance.service();
            boolean owns = owned.computeIfAbsent(service, s -> owns(s, to.member.zone(), to))
                    || owned.computeIfAbsent(service + "@" + instance.zone(), s -> owns(service, instance.zone(), to));
            Instance.Phase told = to.told.get(instance.id());
            if (owns && instance.phase() != told && (told != null || instance.phase() != Instance.Phase.GONE)) {
                to.told.put(instance.id(), instance.phase());
                news.add(instance);
            } else if (!owns && told != null) {
                to.told.remove(instance.id()); // its next owner is told; this one forgets it with its services
            }
        }
        to.instances = instances.edition();
        to.ownedOf = members.edition();
        if (!news.isEmpty()) {
            tell(to, number -> new InstancesNews(to.session, number, news));
        }
    }

    private boolean owns(String service, String zone, Subscriber who) {
        Member owner = ServiceOwnership.of(service, zone, members.all());
        return owner != null && owner.life().equals(who.member.life());
    }

    private void tell(Subscriber to, Numbered news) {
        environment.send(to.host, news.of(++to.sent));
    }
}
