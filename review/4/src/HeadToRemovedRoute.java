import java.io.IOException;
import java.net.Socket;
import java.util.Locale;

/**
 * Clients send HEAD and then GET on one kept connection, after a configuration has removed the route of the HEAD. The
 * answer to a HEAD has no body, so whatever follows its head has to be the answer to the GET.
 */
final class HeadToRemovedRoute {
    private static final int PAIRS = 10;

    private HeadToRemovedRoute() {}

    public static void main(String[] arguments) throws IOException {
        ReviewCase.run(arguments, new Deployment.Setup(1, Runner::succeed), HeadToRemovedRoute::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Operator operator = new Operator(deployment);
        String kept = Operator.route("r-kept", "/kept/", 5000);
        String removed = Operator.route("r-removed", "/removed/", 5000);
        if (operator.replace(0, Operator.configuration(5, kept, removed), 30) != 200
                || !operator.waitUntilServed(0, "/kept/")
                || !operator.waitUntilServed(0, "/removed/")) {
            record.log("the system did not come up");
            return ReviewCase.COULD_NOT_RUN;
        }
        // The disruption: a configuration change removes a route. Without it, the change keeps both routes.
        String change =
                trouble ? Operator.configuration(7, kept) : Operator.configuration(7, kept, removed);
        if (operator.replace(5, change, 10) != 200) {
            record.log("the change was not acknowledged");
            return ReviewCase.COULD_NOT_RUN;
        }
        record.log("operator: acknowledged: " + change);
        Thread.sleep(Deployment.CONFIG_APPLY_MS + 500);
        int broken = 0;
        int inOrder = 0;
        for (int pair = 1; pair <= PAIRS; pair++) {
            String step = "HEAD";
            try (Socket socket = deployment.connect(0)) {
                Http.Answer first = Http.request(socket, "HEAD", "/removed/" + pair, "head-" + pair);
                record.log("client: connection " + pair + ": HEAD /removed/" + pair + " -> " + first.head());
                if (first.head().toLowerCase(Locale.ROOT).contains("connection: close")) {
                    inOrder++;
                    continue; // a client opens a new connection then
                }
                step = "GET";
                Http.Answer second = Http.request(socket, "GET", "/kept/" + pair, "get-" + pair);
                record.log("client: connection " + pair + ": GET /kept/" + pair + " -> " + second.head()
                        + second.body());
                boolean isForeign = second.status() == 200
                        && (!second.body().equals("body of GET /kept/" + pair + " HTTP/1.1")
                                || !("seal-get-" + pair).equals(second.header("X-Saltdale-Runner-Seal")));
                broken += isForeign ? 1 : 0;
                inOrder += isForeign ? 0 : 1;
            } catch (Http.NoAnswer e) {
                record.log("BROKEN: connection " + pair + ": what comes for the " + step + " is no answer: "
                        + e.getMessage());
                broken++;
            } catch (IOException e) {
                record.log("connection " + pair + ": " + step + ": " + e.getMessage());
            }
        }
        record.log("connections: " + PAIRS + ", in order: " + inOrder + ", with bytes that are no answer: " + broken);
        return broken > 0 ? ReviewCase.BROKEN : inOrder == 0 ? ReviewCase.COULD_NOT_RUN : ReviewCase.HELD;
    }
}
