package saltdale.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.Fields;
import saltdale.control.InvalidConfiguration;
import saltdale.control.Invariant;
import saltdale.control.Member;
import saltdale.control.ServiceOwnership;

/** What this proxy knows of the deployment: the configuration in force, the members, and its own lease. */
final class ClusterView {
    private final Environment environment;
    private final ProxySettings settings;
    private ControlSession session;
    private Collection<Member> members = List.of();
    private final Map<String, Map<String, Member>> owners = new HashMap<>(); // by zone and service, as asked for
    private long membersChangedAt;
    private Configuration configuration;

    ClusterView(Environment environment, ProxySettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    /** Set once, before anything is asked of this view. */
    void session(ControlSession own) {
        session = own;
    }

    ControlSession session() {
        return session;
    }

    String life() {
        return session.life();
    }

    boolean hasLease() {
        return session.hasLease();
    }

    String zone() {
        return settings.zone();
    }

    /** The configuration in force; null before the first one is known. */
    Configuration configuration() {
        return configuration;
    }

    long revision() {
        return configuration == null ? -1 : configuration.revision();
    }

    /** Takes a configuration; within one life of the process an older one never replaces a newer one. */
    void configuration(Map<String, Object> tree) {
        try {
            Configuration next = new Configuration(new Fields(tree));
            long before = revision();
            configuration = next.revision() > before ? next : configuration;
            environment.check(
                    Invariant.NO_STEP_BACK, revision() >= before, () -> "from " + before + " to " + revision());
            environment.log("configuration " + configuration.revision() + " in force");
        } catch (InvalidConfiguration e) {
            environment.log("a configuration cannot be read: " + e.getMessage());
        }
    }

    /** Whether a configuration may have been acknowledged that should be in force by now and is not known here. */
    boolean configurationMayBeOld() {
        return environment.now() - session.configurationKnownAt() > settings.configApply();
    }

    Collection<Member> members() {
        return members;
    }

    long membersChangedAt() {
        return membersChangedAt;
    }

    void members(List<Member> next) {
        environment.log("members " + next.size() + ", new or changed: "
                + next.stream()
                        .filter(m -> !members.contains(m))
                        .map(m -> m.name() + (m.leaving() ? "-" : ""))
                        .toList());
        members = next;
        owners.clear();
        membersChangedAt = environment.now();
    }

    boolean isMember() {
        return members.stream().anyMatch(this::isSelf);
    }

    boolean isSelf(Member member) {
        return member.incarnation().equals(life());
    }

    /** Who grants the slots of this service's instances in this zone; null where nobody does. */
    Member owner(String service, String zone) {
        return owners.computeIfAbsent(zone, z -> new HashMap<>())
                .computeIfAbsent(service, s -> ServiceOwnership.of(s, zone, members));
    }

    boolean isOwner(String service, String zone) {
        Member owner = owner(service, zone);
        return owner != null && isSelf(owner);
    }
}
