import java.io.IOException;
import java.net.Socket;
import java.util.Random;

/**
 * An operator's change is taken by one control process, and its answer is lost. The operator sends the same change
 * again, to another control process, which has been waiting for the answers of the others since before that change. It
 * must not refuse what is in force.
 *
 * <p>The disruption: of three control processes, one (a) is stopped with SIGTERM and started again, and one (c) stands
 * still for somewhat longer. The third (b) goes on throughout, and the operator reads the configuration there. The changes are
 * made while a and b run, which are a majority.
 */
final class RefusedThoughInForce {
    private static final int A = 0;
    private static final int B = 1;
    private static final int C = 2;
    private static final double LENGTH_S = 95;
    private static final int ROUNDS = 12; // at most
    private static final int SILENCE_MS = 1000; // after which an operator's call moves on, by the pages
    private static final int PAUSE_MS = 100; // before the first move to another dispatcher

    private final Deployment deployment;
    private final Record record;
    private final boolean trouble;
    private final Operator operator;
    private final Random random = new Random();
    private int revision = 2;
    private double stillSince = -1; // when c was stopped; -1 while it runs

    private RefusedThoughInForce(Deployment deployment, Record record, boolean trouble) {
        this.deployment = deployment;
        this.record = record;
        this.trouble = trouble;
        operator = new Operator(deployment);
    }

    public static void main(String[] arguments) throws IOException {
        ReviewCase.run(
                arguments,
                new Deployment.Setup(1, Runner::succeed),
                (deployment, record, trouble) -> new RefusedThoughInForce(deployment, record, trouble).run());
    }

    private static String configuration(int revision) {
        return Operator.configuration(
                revision,
                Operator.route("r-kept", "/kept/", 5000),
                Operator.route("r-" + revision, "/new" + revision + "/", 5000));
    }

    private int run() throws Exception {
        if (operator.replace(0, configuration(revision), 30) != 200 || !operator.waitUntilServed(0, "/kept/")) {
            record.log("the system did not come up");
            return ReviewCase.COULD_NOT_RUN;
        }
        int rounds = 0;
        int refused = 0;
        int resent = 0;
        while (rounds < ROUNDS && record.seconds() < LENGTH_S && refused == 0) {
            if (!settle()) {
                record.log("the core did not settle");
                return ReviewCase.COULD_NOT_RUN;
            }
            rounds++;
            int status = round(rounds);
            resent += status >= 0 ? 1 : 0;
            if (status >= 400 && status < 500) {
                refused += isInForce() ? 1 : 0;
            }
        }
        record.log("rounds: " + rounds + ", changes sent again: " + resent + ", refused though in force: " + refused);
        return refused > 0 ? ReviewCase.BROKEN : resent == 0 ? ReviewCase.COULD_NOT_RUN : ReviewCase.HELD;
    }

    /** Waits until each control process reads the newest configuration, and contact_ms longer. */
    private boolean settle() throws InterruptedException {
        for (int attempt = 0; attempt < 60; attempt++) {
            int known = 0;
            for (int zone = A; zone <= C; zone++) {
                int read = Operator.revision(operator.read(zone, 1000));
                revision = Math.max(revision, read);
                known += read == revision ? 1 : 0;
            }
            if (known == 3) {
                Thread.sleep(trouble ? 4000 : 1000);
                return true;
            }
            Thread.sleep(250);
        }
        return false;
    }

    /** Returns the status that the change gets when it is sent again; -1 if it was not sent again. */
    private int round(int number) throws Exception {
        record.log("round " + number + ", version " + revision + " is in force");
        if (trouble) {
            stillSince = record.seconds();
            deployment.signal(Deployment.controlName(C), "STOP");
            deployment.signal(Deployment.controlName(A), "TERM");
            deployment.process(Deployment.controlName(A)).waitFor();
            record.log("a has ended with status "
                    + deployment.process(Deployment.controlName(A)).exitValue());
        }
        try {
            Http.inBackground(() -> readAt(B));
            return changes();
        } finally {
            letGoOn();
        }
    }

    private void letGoOn() throws Exception {
        if (stillSince >= 0) {
            deployment.signal(Deployment.controlName(C), "CONT");
            record.log(String.format("c stood still for %.2f s", record.seconds() - stillSince));
            stillSince = -1;
        }
    }

    private void readAt(int zone) {
        String read = operator.read(zone, SILENCE_MS);
        record.log("operator: read at " + "abc".charAt(zone) + ": "
                + (read == null ? "no answer within a second" : "version " + Operator.revision(read)));
    }

    /** Waits until a takes connections; no call is made. */
    private boolean awaitListening() throws InterruptedException {
        for (int attempt = 0; attempt < 100; attempt++) {
            try (Socket socket = new Socket()) {
                socket.connect(deployment.controlAddress(A), 500);
                return true;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        return false;
    }

    private int changes() throws Exception {
        if (trouble) {
            Thread.sleep(500 + random.nextInt(600));
            deployment.start(Deployment.controlName(A));
        }
        // Two changes in a row, at a. The second one's answer is lost.
        String first = configuration(revision + 2);
        String second = configuration(revision + 5);
        if (trouble && !awaitListening()) {
            record.log("a does not listen in time");
            return -1;
        }
        int status = operator.replaceOnce(A, revision, first);
        record.log("operator: " + revision + " -> " + (revision + 2) + " at a: " + status);
        if (status != 200) {
            return -1;
        }
        status = operator.replaceOnce(A, revision + 2, second);
        record.log("operator: " + (revision + 2) + " -> " + (revision + 5) + " at a: " + status
                + (status == 200 ? ", but the answer is lost on its way" : ""));
        if (status != 200) {
            return -1;
        }
        Thread.sleep(PAUSE_MS); // then another dispatcher
        int[] again = {-1};
        Thread resend = new Thread(() -> again[0] = operator.replaceOnce(B, revision + 2, second));
        resend.start();
        Thread.sleep(40);
        letGoOn();
        resend.join();
        record.log("operator: " + (revision + 2) + " -> " + (revision + 5) + " sent again, at b: " + again[0]);
        return again[0];
    }

    /** Whether the refused change is in force: it is read, and the proxy serves the route that it has added. */
    private boolean isInForce() throws InterruptedException {
        int refused = revision + 5;
        for (int attempt = 0; attempt < 20; attempt++) {
            String read = operator.read(attempt % 3, 1000);
            if (Operator.revision(read) == refused) {
                boolean served = operator.waitUntilServed(0, "/new" + refused + "/");
                record.log("BROKEN: version " + refused + " was refused, and is read; its route is "
                        + (served ? "" : "not ") + "served");
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }
}
