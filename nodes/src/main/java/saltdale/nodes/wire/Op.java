package saltdale.nodes.wire;

/**
 * The request types with their codes in the protocol, and the reserved xids of records that answer no
 * ordinary request.
 */
public enum Op {
    CREATE(1),
    DELETE(2),
    EXISTS(3),
    GET_DATA(4),
    SET_DATA(5),
    GET_CHILDREN(8),
    SYNC(9),
    PING(11),
    GET_CHILDREN2(12),
    CHECK(13),
    MULTI(14),
    CREATE2(15),
    AUTH(100),
    SET_WATCHES(101),
    SET_WATCHES2(105),
    ADD_WATCH(106),
    CLOSE(-11),
    ERROR(-1);

    public static final int XID_EVENT = -1;
    public static final int XID_PING = -2;
    public static final int XID_AUTH = -4;
    public static final int XID_SET_WATCHES = -8;

    public final int code;

    Op(int code) {
        this.code = code;
    }

    /** The type of this code; null if it is unknown. */
    public static Op of(int code) {
        for (Op each : values()) {
            if (each.code == code) {
                return each;
            }
        }
        return null;
    }
}
