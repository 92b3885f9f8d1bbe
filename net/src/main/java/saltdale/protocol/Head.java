package saltdale.protocol;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The start line and the headers of a message, over the bytes that came. */
public final class Head {
    /** One header line: its name and value, and where the line stands in the bytes that came. */
    record Line(String name, String value, int from, int to) {}

    /** Requests: method, target and version; answers: version, status and reason. */
    private final String first;

    private final String second;
    private final String third;
    private final byte[] came;
    final List<Line> lines = new ArrayList<>();

    Head(byte[] came, String first, String second, String third) {
        this.came = came;
        this.first = first;
        this.second = second;
        this.third = third;
    }

    public String method() {
        return first;
    }

    public String target() {
        return second;
    }

    /** The target without its query. */
    public String path() {
        int query = second.indexOf('?');
        return query < 0 ? second : second.substring(0, query);
    }

    public int status() {
        return Integer.parseInt(second);
    }

    String version() {
        return first.startsWith("HTTP/") ? first : third;
    }

    /** The first value of this header; null where there is none. */
    public String header(String name) {
        for (Line line : lines) {
            if (line.name.equalsIgnoreCase(name)) {
                return line.value;
            }
        }
        return null;
    }

    /** The value of a header that must stand once; null where there is none, or where it is repeated. */
    public String single(String name) {
        return lines.stream().filter(line -> line.name.equalsIgnoreCase(name)).count() > 1 ? null : header(name);
    }

    /** Whether a header that lists words holds this one. */
    boolean lists(String name, String word) {
        for (Line line : lines) {
            if (line.name.equalsIgnoreCase(name)) {
                for (String one : line.value.split(",")) {
                    if (one.strip().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Whether the connection may carry another message after this one. */
    public boolean keepsAlive() {
        return isCurrent() ? !lists("Connection", "close") : lists("Connection", "keep-alive");
    }

    /** Of HTTP/1.1, not of a version whose sides expect other things of a connection. */
    public boolean isCurrent() {
        return version().equals("HTTP/1.1");
    }

    public boolean expectsContinue() {
        return lists("Expect", "100-continue");
    }

    /** The bytes of a header line as they came, without its end. */
    byte[] bytes(Line line) {
        return Arrays.copyOfRange(came, line.from, line.to);
    }
}
