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
    /** One session; {@code heardAt} is when its client last said anything. */
    public static final class Session {
        public final long id;
        public final byte[] password;
        public final Duration timeout;
        private Duration heardAt;

        private Session(long id, byte[] password, Duration timeout, Duration heardAt) {
            this.id = id;
            this.password = password;
            this.timeout = timeout;
            this.heardAt = heardAt;
        }
    }

    private final Duration tick;
    private final SplittableRandom chance;
    private final Map<Long, Session> live = new LinkedHashMap<>();
    private long next;

    /** Time-outs are granted from 2 to 20 ticks, as the protocol's servers do. */
    public Sessions(Duration tick, long firstId, SplittableRandom chance) {
        this.tick = tick;
        this.next = firstId;
        this.chance = chance;
    }

    public Duration granted(Duration asked) {
        Duration least = tick.multipliedBy(2);
        Duration most = tick.multipliedBy(20);
        return asked.compareTo(least) < 0 ? least : asked.compareTo(most) > 0 ? most : asked;
    }

    public Session open(Duration now, Duration asked) {
        byte[] password = new byte[16];
        for (int i = 0; i < password.length; i++) {
            password[i] = (byte) chance.nextInt(256);
        }
        return add(new Session(next++, password, granted(asked), now));
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
        session.heardAt = now;
        return session;
    }

    public Session find(long id) {
        return live.get(id);
    }

    public void heard(Duration now, long id) {
        Session session = live.get(id);
        if (session != null) {
            session.heardAt = now;
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

    /** Those that have not been heard for their time-out, rounded up to whole ticks; they are over. */
    public List<Long> expired(Duration now) {
        List<Long> over = new ArrayList<>();
        for (Session each : live.values()) {
            long ticks = (each.heardAt.plus(each.timeout).toNanos() + tick.toNanos() - 1) / tick.toNanos();
            if (now.compareTo(tick.multipliedBy(ticks)) >= 0) {
                over.add(each.id);
            }
        }
        over.forEach(live::remove);
        return over;
    }
}
