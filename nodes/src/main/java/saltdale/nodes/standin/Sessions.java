package saltdale.nodes.standin;

import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The sessions of a stand-in, with the time at which each of them expires. The time is passed in by the
 * caller; expiry is rounded up to whole ticks.
 */
public final class Sessions {
    /** One session; {@code lastHeardAt} is the time of its client's last request. */
    public static final class Session {
        public final long id;
        public final byte[] password;
        public final Duration timeout;
        private Duration lastHeardAt;

        private Session(long id, byte[] password, Duration timeout, Duration lastHeardAt) {
            this.id = id;
            this.password = password;
            this.timeout = timeout;
            this.lastHeardAt = lastHeardAt;
        }
    }

    private final Duration tick;
    private final SplittableRandom random;
    private final Map<Long, Session> openSessions = new LinkedHashMap<>();
    private long nextId;

    /** Session time-outs are limited to 2 to 20 ticks, as ZooKeeper servers do. */
    public Sessions(Duration tick, long firstId, SplittableRandom random) {
        this.tick = tick;
        this.nextId = firstId;
        this.random = random;
    }

    /** The time-out granted to a client that requests this one. */
    public Duration negotiatedTimeout(Duration requested) {
        Duration minTimeout = tick.multipliedBy(2);
        Duration maxTimeout = tick.multipliedBy(20);
        return requested.compareTo(minTimeout) < 0
                ? minTimeout
                : requested.compareTo(maxTimeout) > 0 ? maxTimeout : requested;
    }

    /** Opens a new session. */
    public Session open(Duration now, Duration requested) {
        byte[] password = new byte[16];
        for (int i = 0; i < password.length; i++) {
            password[i] = (byte) random.nextInt(256);
        }
        return add(new Session(nextId++, password, negotiatedTimeout(requested), now));
    }

    /** Restores a session that was open before a restart; its time-out starts again. */
    public Session restored(Duration now, long id, byte[] password, Duration timeout) {
        nextId = Math.max(nextId, id + 1);
        return add(new Session(id, password, timeout, now));
    }

    private Session add(Session session) {
        openSessions.put(session.id, session);
        return session;
    }

    /** Resumes a session; null if it has expired or if the password does not match. */
    public Session resume(Duration now, long id, byte[] password) {
        Session session = openSessions.get(id);
        if (session == null || password == null || !MessageDigest.isEqual(session.password, password)) {
            return null;
        }
        session.lastHeardAt = now;
        return session;
    }

    /** The open session of this id; null if there is none. */
    public Session find(long id) {
        return openSessions.get(id);
    }

    /** Records that the client of a session was heard. */
    public void touch(Duration now, long id) {
        Session session = openSessions.get(id);
        if (session != null) {
            session.lastHeardAt = now;
        }
    }

    /** Removes a session. */
    public void close(long id) {
        openSessions.remove(id);
    }

    /** Number of open sessions. */
    public int size() {
        return openSessions.size();
    }

    /** The entries that record all open sessions in a snapshot. */
    List<Journal.Entry> entries() {
        List<Journal.Entry> all = new ArrayList<>();
        openSessions.values().forEach(s -> all.add(Journal.Entry.opened(s.id, s.password, (int) s.timeout.toMillis())));
        return all;
    }

    /**
     * Removes and returns the sessions from which nothing was heard for their time-out, rounded up to
     * whole ticks.
     */
    public List<Long> expired(Duration now) {
        List<Long> expiredIds = new ArrayList<>();
        for (Session each : openSessions.values()) {
            long ticks = (each.lastHeardAt.plus(each.timeout).toNanos() + tick.toNanos() - 1) / tick.toNanos();
            if (now.compareTo(tick.multipliedBy(ticks)) >= 0) {
                expiredIds.add(each.id);
            }
        }
        expiredIds.forEach(openSessions::remove);
        return expiredIds;
    }
}
