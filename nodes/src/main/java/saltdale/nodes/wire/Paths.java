package saltdale.nodes.wire;

/** Node paths: absolute, without empty, "." or ".." components, a trailing slash or control characters. */
public final class Paths {
    private Paths() {}

    /** Why a path is invalid, phrased to follow "a path that"; null if it is valid. */
    public static String validationError(String path) {
        if (path == null || path.isEmpty()) {
            return "is empty";
        } else if (path.charAt(0) != '/') {
            return "does not begin with a slash";
        } else if (path.length() == 1) {
            return null;
        } else if (path.endsWith("/")) {
            return "ends in a slash";
        }
        for (String part : path.substring(1).split("/", -1)) {
            if (part.isEmpty() || part.equals(".") || part.equals("..")) {
                return "has the component \"" + part + "\"";
            }
        }
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c < 0x20 || c >= 0x7f && c <= 0x9f || c >= 0xd800 && c <= 0xf8ff || c >= 0xfff0) {
                return "contains a character that is not allowed in paths";
            }
        }
        return null;
    }

    /** The path of the parent node; the root is its own parent. */
    public static String parent(String path) {
        int slash = path.lastIndexOf('/');
        return slash <= 0 ? "/" : path.substring(0, slash);
    }

    /** The last component of a path. */
    public static String name(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }

    /** The path of a child node. */
    public static String child(String parent, String name) {
        return parent.equals("/") ? "/" + name : parent + "/" + name;
    }
}
