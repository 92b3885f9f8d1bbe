package saltdale.overload;

/**
 * Further dispatches as a part of first ones, while most of the further ones fail: each dispatcher keeps to its
 * part, and
 * so all together do, with no word between them. It may hurt where failures are short and far between: then what
 * would have succeeded waits for its part.
 */
public final class Budget {
    private static final double PART = 0.1; // of first dispatches, as retry budgets have it (SRE book, ch. 21)
    private static final double MOST = 2; // saved up at the most, so that a quiet time is no licence

    private double left = MOST;

    public void first() {
        left = Math.min(MOST, left + PART);
    }

    /** Whether one more may go; it is then counted. */
    public boolean further() {
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
