package saltdale.nodes.standin;

import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The sessions of a stand-in: who has one, until when it lives unheard. Told the time; time-outs go by ticks.
 */
public final class Sessions {
    /** One session; {@code lastHeardAt} is when its client last said anything. */
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
    private final Map<Long, Session> live = new LinkedHashMap<>();
    private long next;

    /** Time-outs are granted from 2 to 20 ticks, as the protocol's servers do. */
    public Sessions(Duration tick, long firstId, SplittableRandom random) {
        this.tick = tick;
        this.next = firstId;
        this.random = random;
    }

    public Duration negotiatedTimeout(Duration requested) {
        Duration minTimeout = tick.multipliedBy(2);
        Duration maxTimeout = tick.multipliedBy(20);
        return requested.compareTo(minTimeout) < 0
                ? minTimeout
                : requested.compareTo(maxTimeout) > 0 ? maxTimeout : requested;
    }

    public Session open(Duration now, Duration requested) {
        byte[] password = new byte[16];
        for (int i = 0; i < password.length; i++) {
            password[i] = (byte) random.nextInt(256);
        }
        return add(new Session(next++, password, negotiatedTimeout(requested), now));
    }

    /** One that was open before a restart: it lives a whole time-out more. */
    public Session restored(Duration now, long id, byte[] password, Duration timeout) {
        next = Math.max(next, id + 1);
        return add(new Session(id, password, timeout, now));
    }

    private Session add(Session session) {
        live.put(session.id, session);
        return session;
    }

    /** The session that a client resumes; null where it is over, or where the password is not its own. */
    public Session resume(Duration now, long id, byte[] password) {
        Session session = live.get(id);
        if (session == null || password == null || !MessageDigest.isEqual(session.password, password)) {
            return null;
        }
        session.lastHeardAt = now;
        return session;
    }

    public Session find(long id) {
        return live.get(id);
    }

    public void touch(Duration now, long id) {
        Session session = live.get(id);
        if (session != null) {
            session.lastHeardAt = now;
        }
    }

    public void close(long id) {
        live.remove(id);
    }

    public int size() {
        return live.size();
    }

    /** All of them, as a snapshot keeps them. */
    List<Journal.Entry> entries() {
        List<Journal.Entry> all = new ArrayList<>();
        live.values().forEach(s -> all.add(Journal.Entry.opened(s.id, s.password, (int) s.timeout.toMillis())));
        return all;
    }

    /** Those that have not been heard for their time-out, rounded up to whole ticks; they are expiredIds. */
    public List<Long> expired(Duration now) {
        List<Long> expiredIds = new ArrayList<>();
        for (Session each : live.values()) {
            long ticks = (each.lastHeardAt.plus(each.timeout).toNanos() + tick.toNanos() - 1) / tick.toNanos();
            if (now.compareTo(tick.multipliedBy(ticks)) >= 0) {
                expiredIds.add(each.id);
            }
        }
        expiredIds.forEach(live::remove);
        return expiredIds;
    }
}
