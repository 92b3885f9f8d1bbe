package saltdale.protocol;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The start line and the headers of a message, over the bytes that came. */
public final class Head {
    /** One header line: its name and value, and where the line stands in the bytes that came. */
    record HeaderLine(String name, String value, int start, int end) {}

    /** Requests: method, target and version; answers: version, status and reason. */
    private final String startLinePart1;

    private final String startLinePart2;
    private final String startLinePart3;
    private final byte[] rawBytes;
    final List<HeaderLine> headers = new ArrayList<>();

    Head(byte[] came, String first, String second, String third) {
        this.rawBytes = came;
        this.startLinePart1 = first;
        this.startLinePart2 = second;
        this.startLinePart3 = third;
    }

    public String method() {
        return startLinePart1;
    }

    public String target() {
        return startLinePart2;
    }

    /** The target without its query. */
    public String path() {
        int query = startLinePart2.indexOf('?');
        return query < 0 ? startLinePart2 : startLinePart2.substring(0, query);
    }

    public int status() {
        return Integer.parseInt(startLinePart2);
    }

    String version() {
        return startLinePart1.startsWith("HTTP/") ? startLinePart1 : startLinePart3;
    }

    /** The first value of this header; null where there is none. */
    public String header(String name) {
        for (HeaderLine line : headers) {
            if (line.name.equalsIgnoreCase(name)) {
                return line.value;
            }
        }
        return null;
    }

    /** The value of a header that must stand once; null where there is none, or where it is repeated. */
    public String uniqueHeader(String name) {
        return headers.stream().filter(line -> line.name.equalsIgnoreCase(name)).count() > 1 ? null : header(name);
    }

    /** Whether a header that lists words holds this one. */
    boolean headerContains(String name, String word) {
        for (HeaderLine line : headers) {
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
        return isHttp11() ? !headerContains("Connection", "close") : headerContains("Connection", "keep-alive");
    }

    /** Of HTTP/1.1, not of a version whose sides expect other things of a connection. */
    public boolean isHttp11() {
        return version().equals("HTTP/1.1");
    }

    public boolean expectsContinue() {
        return headerContains("Expect", "100-continue");
    }

    /** The bytes of a header line as they came, without its end. */
    byte[] rawHeader(HeaderLine line) {
        return Arrays.copyOfRange(rawBytes, line.start, line.end);
    }
}
