package saltdale.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses socket addresses from configuration files and host lists. Only numeric hosts are accepted, because resolving
 * a name would require DNS.
 */
public final class Address {
    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]+]");

    private Address() {}

    /** Parses {@code host:port}; returns null if the text is not a numeric host followed by a valid port. */
    public static InetSocketAddress parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        String host = text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1
                    || port > 65535
                    || !IPV4.matcher(host).matches() && !IPV6.matcher(host).matches()) {
                return null;
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
