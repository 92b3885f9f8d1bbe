package saltdale.rig.platform;

/** A machine of the system, at a loopback address of its own: so all machines of a day have the same ports. */
public record Machine(String name, String role, String zone, String ip) {
    public static final int FRONT_PORT = 8241;
    public static final int READINESS_PORT = 8246;
    public static final int CONTROL_PORT = 8248;

    public boolean isProxy() {
        return role.equals("proxy");
    }

    public String at(int port) {
        return ip + ":" + port;
    }
}
