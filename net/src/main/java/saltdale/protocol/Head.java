package saltdale.protocol;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The start line and the headers of an HTTP message, with access to the bytes they were parsed from. */
public final class Head {
    /** A header line: its name and value, and the range of the line within the received bytes. */
    record HeaderLine(String name, String value, int start, int end) {}

    private static final int HEADER_LINE_BYTES = 160; // the objects of one header line, without its characters

    /** The parts of the start line. Requests: method, target and version; responses: version, status and reason. */
    private final String startLinePart1;

    private final String startLinePart2;
    private final String startLinePart3;
    private final byte[] rawBytes;
    final List<HeaderLine> headers = new ArrayList<>();

    Head(byte[] rawBytes, String startLinePart1, String startLinePart2, String startLinePart3) {
        this.rawBytes = rawBytes;
        this.startLinePart1 = startLinePart1;
        this.startLinePart2 = startLinePart2;
        this.startLinePart3 = startLinePart3;
    }

    /** Returns about how much memory this head takes: its bytes, as received and as strings, and their objects. */
    public long memoryBytes() {
        return 2L * rawBytes.length + (long) HEADER_LINE_BYTES * headers.size();
    }

    /** Returns the method of a request. */
    public String method() {
        return startLinePart1;
    }

    /** Returns the target of a request, with its query. */
    public String target() {
        return startLinePart2;
    }

    /** Returns the target of a request without its query. */
    public String path() {
        int query = startLinePart2.indexOf('?');
        return query < 0 ? startLinePart2 : startLinePart2.substring(0, query);
    }

    /** Returns the status code of a response. */
    public int status() {
        return Integer.parseInt(startLinePart2);
    }

    String version() {
        return startLinePart1.startsWith("HTTP/") ? startLinePart1 : startLinePart3;
    }

    /** Returns the first value of the header, or null if it is absent. Header names are not case-sensitive. */
    public String header(String name) {
        for (HeaderLine line : headers) {
            if (line.name.equalsIgnoreCase(name)) {
                return line.value;
            }
        }
        return null;
    }

    /** Returns the value of a header that must not be repeated, or null if it is absent or repeated. */
    public String uniqueHeader(String name) {
        return headers.stream().filter(line -> line.name.equalsIgnoreCase(name)).count() > 1 ? null : header(name);
    }

    /** Returns the elements of a header whose value is a comma-separated list, in lower case. */
    Set<String> listHeader(String name) {
        Set<String> elements = new HashSet<>();
        for (HeaderLine line : headers) {
            if (line.name.equalsIgnoreCase(name)) {
                for (String element : line.value.split(",")) {
                    elements.add(element.strip().toLowerCase(Locale.ROOT));
                }
            }
        }
        return elements;
    }

    private boolean headerContains(String name, String token) {
        return header(name) != null && listHeader(name).contains(token);
    }

    /** Returns whether the connection may carry another message after this one. */
    public boolean keepsAlive() {
        return isHttp11() ? !headerContains("Connection", "close") : headerContains("Connection", "keep-alive");
    }

    /** Returns whether the message is HTTP/1.1; other versions handle persistent connections differently. */
    public boolean isHttp11() {
        return version().equals("HTTP/1.1");
    }

    /** Returns whether the client waits for an interim response before it sends the body. */
    public boolean expectsContinue() {
        return headerContains("Expect", "100-continue");
    }

    /** Returns the header line as it was received, without its line end. */
    byte[] rawHeader(HeaderLine line) {
        return Arrays.copyOfRange(rawBytes, line.start, line.end);
    }
}
