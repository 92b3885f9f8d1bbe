package saltdale.rig.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Who listens where: all on loopback, each runner and the list at an address of its own for each dispatcher,
 * so that a runner knows by the address who has sent it a job.
 */
public final class LoopbackAddresses {
    /** So many dispatchers have room in the third figure of an address. */
    public static final int MAX_DISPATCHERS = 250;

    private final int port;

    public LoopbackAddresses(int port) {
        this.port = port;
    }

    public InetSocketAddress runner(int runner, int dispatcher) {
        return at(40 + runner / 250, dispatcher + 1, runner % 250 + 1);
    }

    /** Where a runner itself listens for a dispatcher whose way to it is a relay's. */
    InetSocketAddress behind(int runner, int dispatcher) {
        return at(70 + runner / 250, dispatcher + 1, runner % 250 + 1);
    }

    /** Where such a runner's calls to the dispatcher go. */
    InetSocketAddress back(int runner, int dispatcher) {
        return at(100 + runner / 250, dispatcher + 1, runner % 250 + 1);
    }

    public InetSocketAddress list(int dispatcher) {
        return at(30, dispatcher + 1, 1);
    }

    public InetSocketAddress dispatcher(int dispatcher) {
        return at(31, dispatcher + 1, 1);
    }

    private InetSocketAddress at(int second, int third, int fourth) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {127, (byte) second, (byte) third, (byte) fourth}), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are always an address
        }
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
