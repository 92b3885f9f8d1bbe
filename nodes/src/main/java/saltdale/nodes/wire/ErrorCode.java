package saltdale.nodes.wire;

/** The error codes of the protocol. */
public enum ErrorCode {
    OK(0),
    SYSTEM_ERROR(-1),
    CONNECTION_LOSS(-4),
    MARSHALLING_ERROR(-5),
    UNIMPLEMENTED(-6),
    OPERATION_TIMEOUT(-7),
    BAD_ARGUMENTS(-8),
    RUNTIME_INCONSISTENCY(-2),
    NO_NODE(-101),
    NO_AUTH(-102),
    BAD_VERSION(-103),
    NO_CHILDREN_FOR_EPHEMERALS(-108),
    NODE_EXISTS(-110),
    NOT_EMPTY(-111),
    SESSION_EXPIRED(-112),
    INVALID_ACL(-114),
    AUTH_FAILED(-115),
    SESSION_MOVED(-118),
    UNKNOWN(Integer.MIN_VALUE);

    public final int code;

    ErrorCode(int code) {
        this.code = code;
    }

    /** The error of this code; UNKNOWN if the code is not listed here. */
    public static ErrorCode of(int code) {
        for (ErrorCode each : values()) {
            if (each.code == code) {
                return each;
            }
        }
        return UNKNOWN;
    }
}
