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

/** What this proxy knows of the cluster: the configuration in force, the members, and its own lease. */
final class ClusterView {
    private final Environment environment;
    private final ProxySettings settings;
    private ControlSession session;
    private Collection<Member> members = List.of();
    private final Map<String, Map<String, Member>> owners = new HashMap<>(); // by zone and service; a lazy cache
    private long membersChangedAt;
    private Configuration configuration;

    ClusterView(Environment environment, ProxySettings settings) {
        this.environment = environment;
        this.settings = settings;
    }

    /** Called once, before any other method. */
    void setSession(ControlSession controlSession) {
        session = controlSession;
    }

    ControlSession session() {
        return session;
    }

    /** The incarnation of this proxy, see {@link ControlSession#incarnation}. */
    String incarnation() {
        return session.incarnation();
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

    /** The revision of the configuration in force; -1 before the first one is known. */
    long revision() {
        return configuration == null ? -1 : configuration.revision();
    }

    /**
     * Puts a received configuration into force, unless it is older than the current one: within the lifetime of a
     * process, the revision never decreases.
     */
    void updateConfiguration(Map<String, Object> tree) {
        try {
            Configuration next = new Configuration(new Fields(tree));
            long before = revision();
            configuration = next.revision() > before ? next : configuration;
            environment.check(
                    Invariant.NO_STEP_BACK, revision() >= before, () -> "from " + before + " to " + revision());
            environment.log("configuration " + configuration.revision() + " is in force");
        } catch (InvalidConfiguration e) {
            environment.log("invalid configuration received: " + e.getMessage());
        }
    }

    /** Whether there may be an acknowledged configuration that should be in force by now but is not known here. */
    boolean configurationMayBeOutdated() {
        return environment.now() - session.configurationKnownAt() > settings.configApplyNanos();
    }

    Collection<Member> members() {
        return members;
    }

    long membersChangedAt() {
        return membersChangedAt;
    }

    void updateMembers(List<Member> next) {
        environment.log("members: " + next.size() + ", new or changed: "
                + next.stream()
                        .filter(member -> !members.contains(member))
                        .map(member -> member.name() + (member.leaving() ? "-" : ""))
                        .toList());
        members = next;
        owners.clear();
        membersChangedAt = environment.now();
    }

    boolean isMember() {
        return members.stream().anyMatch(this::isSelf);
    }

    boolean isSelf(Member member) {
        return member.incarnation().equals(incarnation());
    }

    /** The member that grants the slots of this service's instances in this zone; null if there is none. */
    Member owner(String service, String zone) {
        return owners.computeIfAbsent(zone, z -> new HashMap<>())
                .computeIfAbsent(service, s -> ServiceOwnership.ownerOf(s, zone, members));
    }

    boolean isOwner(String service, String zone) {
        Member owner = owner(service, zone);
        return owner != null && isSelf(owner);
    }
}
