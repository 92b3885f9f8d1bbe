package saltdale.overload;

/**
 * Limits retries to a share of first attempts while most retries fail. Each dispatcher keeps to its share, and so all
 * together do without coordination. Drawback: where failures are short and rare, retries that would succeed wait for
 * the budget.
 */
public final class RetryBudget {
    private static final double RETRY_SHARE = 0.1; // of first attempts (SRE book, ch. 21)
    private static final double MAX_SAVED = 2; // limits the burst of retries after a quiet period

    private double available = MAX_SAVED;

    /** Adds the share of one first attempt to the budget. */
    public void recordFirstAttempt() {
        available = Math.min(MAX_SAVED, available + RETRY_SHARE);
    }

    /** Takes one retry from the budget; false if it is exhausted. */
    public boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
