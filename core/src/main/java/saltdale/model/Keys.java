package saltdale.model;

/** Recent share of each affinity key in all requests, in bounded memory, and the home runners of a key. */
public final class Keys {
    private static final int BUCKETS = 1024;  // keys in the same bucket count as one
    private static final int HALVING_COUNT = 8192;
    private final int[] counts = new int[BUCKETS];
    private int total;

    /** Counts a request with this key. */
    public void add(long key) {
        counts[bucket(key)]++;
        if (++total >= HALVING_COUNT) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    /** The recent share of this key. */
    public double share(long key) {
        return total == 0 ? 0 : (double) counts[bucket(key)] / total;
    }

    /** Whether the runner is a home of this key, as this share of runners is; equal at all dispatchers. */
    public static boolean isHome(long key, long runnerHash, double share) {
        return (mix(key ^ mix(runnerHash)) >>> 11) * 0x1.0p-53 < share;
    }

    private static int bucket(long key) {
        return (int) (mix(key) >>> 54);
    }

    /** The 64-bit FNV-1a hash of a text; never 0. */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }

    /** The finaliser of MurmurHash3. */
    private static long mix(long z) {
        z = (z ^ z >>> 33) * 0xff51afd7ed558ccdL;
        z = (z ^ z >>> 33) * 0xc4ceb9fe1a85ec53L;
        return z ^ z >>> 33;
    }
}
