package saltdale.rig.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * The loopback addresses of a run. Each runner and the runner list has a separate address for each dispatcher, so that
 * a runner can tell from the address which dispatcher sent a job.
 */
public final class LoopbackAddresses {
    /** The number of dispatchers that the third byte of an address has room for. */
    public static final int MAX_DISPATCHERS = 250;

    private final int port;

    public LoopbackAddresses(int port) {
        this.port = port;
    }

    /** Where a dispatcher connects to a runner. */
    public InetSocketAddress runner(int runner, int dispatcher) {
        return at(40 + runner / 250, dispatcher + 1, runner % 250 + 1);
    }

    /** Where a runner listens for a dispatcher that reaches it through a relay. */
    InetSocketAddress behindRelay(int runner, int dispatcher) {
        return at(70 + runner / 250, dispatcher + 1, runner % 250 + 1);
    }

    /** Where the relay listens for such a runner's calls to the dispatcher. */
    InetSocketAddress callbackRelay(int runner, int dispatcher) {
        return at(100 + runner / 250, dispatcher + 1, runner % 250 + 1);
    }

    /** Where a dispatcher connects to the runner list. */
    public InetSocketAddress list(int dispatcher) {
        return at(30, dispatcher + 1, 1);
    }

    /** Where a dispatcher listens. */
    public InetSocketAddress dispatcher(int dispatcher) {
        return at(31, dispatcher + 1, 1);
    }

    private InetSocketAddress at(int secondByte, int thirdByte, int fourthByte) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {127, (byte) secondByte, (byte) thirdByte, (byte) fourthByte}),
                    port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are always an address
        }
    }

    /** Formats an address as {@code host:port}. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
