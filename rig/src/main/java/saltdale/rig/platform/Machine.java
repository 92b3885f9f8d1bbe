package saltdale.rig.platform;

/**
 * A machine of the system. Each has a loopback address of its own, so that all machines of a run can use
 * the same ports.
 */
public record Machine(String name, String role, String zone, String ip) {
    public static final int FRONT_PORT = 8241;
    public static final int READINESS_PORT = 8246;
    public static final int CONTROL_PORT = 8248;

    public boolean isProxy() {
        return role.equals("proxy");
    }

    /** The machine's address with this port. */
    public String at(int port) {
        return ip + ":" + port;
    }
}
