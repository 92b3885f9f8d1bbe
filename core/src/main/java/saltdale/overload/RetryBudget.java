package saltdale.overload;

/**
 * Further dispatches as a part of first ones, while most of the further ones fail: each dispatcher keeps to its
 * part, and
 * so all together do, with no word between them. It may hurt where failures are short and far between: then what
 * would have succeeded waits for its part.
 */
public final class RetryBudget {
    private static final double RETRY_SHARE = 0.1; // of first dispatches, as retry budgets have it (SRE book, ch. 21)
    private static final double MAX_SAVED = 2; // saved up at the most, so that a quiet time is no licence

    private double available = MAX_SAVED;

    public void recordFirstAttempt() {
        available = Math.min(MAX_SAVED, available + RETRY_SHARE);
    }

    /** Whether one more may go; it is then counted. */
    public boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
