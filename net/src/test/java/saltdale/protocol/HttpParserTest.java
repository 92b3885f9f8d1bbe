package saltdale.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpParserTest {
    private static final String FIXED_LENGTH_REQUEST =
            "POST /w/7?a=b HTTP/1.1\r\nHost: x\r\nRequest-Id:  9b \r\n" + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED_REQUEST = "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: 1\r\n\r\n";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static HttpParser parse(HttpParser.Kind kind, String... parts) {
        HttpParser parser = new HttpParser(kind);
        for (String part : parts) {
            parser.parse(bytes(part));
        }
        return parser;
    }

    private static int errorStatus(String request) {
        HttpParser parser = parse(HttpParser.Kind.REQUEST, request);
        return parser.isMalformed() ? parser.errorStatus() : 0;
    }

    @Test
    void messageIsParsedWhereverItIsSplit() {
        for (String message : List.of(FIXED_LENGTH_REQUEST, CHUNKED_REQUEST)) {
            for (int i = 0; i <= message.length(); i++) {
                for (int j = i; j <= message.length(); j++) {
                    HttpParser parser = parse(
                            HttpParser.Kind.REQUEST,
                            message.substring(0, i),
                            message.substring(i, j),
                            message.substring(j));
                    assertTrue(parser.isComplete(), "split at " + i + " and " + j);
                    assertEquals("hello", new String(parser.body(), StandardCharsets.US_ASCII));
                }
            }
        }
    }

    @Test
    void bytesAfterAMessageAreLeftForTheNextOne() {
        ByteBuffer input = bytes(FIXED_LENGTH_REQUEST + CHUNKED_REQUEST);
        HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
        parser.parse(input);
        assertEquals("/w/7?a=b", parser.head().target());
        assertEquals("/w/7", parser.head().path());
        assertEquals("9b", parser.head().header("request-id"));
        parser.startNextMessage();
        parser.parse(input);
        assertTrue(parser.isComplete());
        assertEquals("/w", parser.head().target());
        assertFalse(input.hasRemaining());
    }

    @Test
    void responseMayEndWithTheConnectionAndFollowAnInterimResponse() {
        HttpParser parser =
                parse(HttpParser.Kind.ANSWER, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 503 Not Now\r\n\r\nab");
        assertFalse(parser.isComplete());
        parser.endOfInput();
        assertTrue(parser.isComplete());
        assertEquals(503, parser.head().status());
        assertFalse(parser.head().keepsAlive());
        assertEquals(2, parser.body().length);
    }

    @Test
    void truncatedResponseIsIncomplete() {
        HttpParser parser = parse(HttpParser.Kind.ANSWER, "HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\nab");
        parser.endOfInput();
        assertFalse(parser.isComplete());
    }

    @Test
    void responseWithoutBodyIsCompleteAfterItsHead() {
        assertTrue(
                parse(HttpParser.Kind.ANSWER, "HTTP/1.1 204 No Content\r\n\r\n").isComplete());
        assertTrue(parse(HttpParser.Kind.ANSWER, "HTTP/1.1 202 \r\nContent-Length: 0\r\n\r\n")
                .isComplete());
    }

    @Test
    void malformedOrAmbiguousFramingIsRejected() {
        String start = "POST /w HTTP/1.1\r\n";
        for (String request : List.of(
                "POST /w\r\n\r\n",
                "POST w HTTP/1.1\r\n\r\n",
                "POST /w HTTP/2.0\r\n\r\n",
                "PO ST /w HTTP/1.1\r\n\r\n",
                start + "No colon\r\n\r\n",
                start + "Spaced : 1\r\n\r\n",
                start + "A: 1\r\n folded\r\n\r\n",
                start + "A: \0\r\n\r\n",
                start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
                start + "Content-Length: -1\r\n\r\n",
                start + "Content-Length: 1, 1\r\n\r\n",
                start + "Content-Length: +1\r\n\r\n",
                start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                start + "Transfer-Encoding: gzip\r\n\r\n",
                start + "Transfer-Encoding: chunked, chunked\r\n\r\n",
                start + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
                start + "Transfer-Encoding: chunked\r\n\r\nx\r\n",
                start + "Transfer-Encoding: chunked\r\n\r\n\r\n",
                start + "Transfer-Encoding: chunked\r\n\r\n1\nab",
                start + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
                start + "Transfer-Encoding: chunked\r\n\r\n123456789\r\n",
                "POST /w HTTP/1.1\n",
                start + "A: 1\n",
                start + "A: 1\rB",
                "\n",
                "\u0016\u0003\u0001",
                "POST /\u007f",
                "\r\n".repeat(5))) {
            assertEquals(400, errorStatus(request), request);
        }
    }

    @Test
    void messageOverTheLimitsIsRejected() {
        assertEquals(413, errorStatus("POST /w HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"));
        assertEquals(0, errorStatus("POST /w HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"));
        String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
        String chunked = "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertEquals(0, errorStatus(chunked + chunk + chunk));
        assertEquals(413, errorStatus(chunked + chunk + chunk + "1\r\n"));
        assertEquals(431, errorStatus("POST /w HTTP/1.1\r\n" + "A: 1\r\n".repeat(65) + "\r\n"));
        assertEquals(431, errorStatus("POST /w HTTP/1.1\r\nA: " + "x".repeat(HttpParser.MAX_HEAD_BYTES)));
    }

    private static long allocatedBytes(Runnable task) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        task.run();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    }

    /** Guards against chunks of one byte that cost many times the work of their bytes. */
    @Test
    void chunksOfOneByteAllocateNothing() {
        int count = 60_000;
        HttpParser parser = parse(HttpParser.Kind.REQUEST, "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        ByteBuffer chunks = bytes("1\r\nx\r\n".repeat(count));
        long allocated = allocatedBytes(() -> parser.parse(chunks));
        parser.parse(bytes("0\r\n\r\n"));
        assertEquals(count, parser.body().length);
        assertTrue(
                allocated < 8L * count,
                "allocated " + allocated + " bytes, of which the body took up to twice " + count);
    }

    @Test
    void lineOfAChunkIsReadStrictly() {
        String start = "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (String accepted : List.of("2 ;x=y\r\nab\r\n0\r\n\r\n", "00000002\t\r\nab\r\n000;\r\n\r\n")) {
            assertTrue(parse(HttpParser.Kind.REQUEST, start, accepted).isComplete(), accepted);
        }
        for (String rejected : List.of(
                " 2\r\n",
                "2 2\r\n",
                ";2\r\n",
                " \r\n",
                "2;a\rb\r\n",
                "2\r\r\n",
                "2\n",
                "\u00b2\r\n",
                "2\r\nab\n",
                "2\r\nab\r\r")) {
            assertEquals(400, errorStatus(start + rejected), rejected);
        }
        assertEquals(400, errorStatus(start + "2;" + "x".repeat(1100)));
    }

    @Test
    void bodyPassedToASinkIsUnlimited() {
        List<String> lines = new ArrayList<>();
        LineSplitter splitter = new LineSplitter(5, line -> lines.add(new String(line, StandardCharsets.US_ASCII)));
        HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, splitter);
        String response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\n\n\r\n4\r\ncde\n\r\n";
        for (char c : response.toCharArray()) {
            parser.parse(bytes(String.valueOf(c)));
        }
        assertEquals(List.of("ab", "", "cde"), lines);
        parser.parse(bytes("6\r\nabcdef\r\n"));
        assertTrue(splitter.isLineTooLong());
    }

    /** Guards against lists of connection options that are read again for each header. */
    @Test
    void connectionOptionsAreReadOncePerRequest() {
        String options = "a,".repeat(3000);
        HttpParser parser = parse(
                HttpParser.Kind.REQUEST,
                "POST /w HTTP/1.1\r\nConnection: " + options + "a\r\n" + "X-B: 1\r\n".repeat(60) + "\r\n");
        Head head = parser.head();
        long once = allocatedBytes(() -> head.listHeader("Connection"));
        long forwarding = allocatedBytes(() -> HttpWriter.forwardedRequest(head, 0, 470));
        assertTrue(forwarding < 3 * once, "allocated " + forwarding + " bytes, reading the list once takes " + once);
    }

    @Test
    void forwardedRequestIsUnchangedExceptForHopByHopHeaders() {
        HttpParser parser = parse(
                HttpParser.Kind.REQUEST,
                "POST /w/7?a HTTP/1.1\r\nHost: api\r\n"
                        + "Connection: close, X-Hop, Idempotency-Key\r\nX-Hop: 1\r\nRequest-Timeout-Ms: 480\r\nIdempotency-Key:  k\u00e9 \r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\n\u00ff\0\r\n0\r\n\r\n");
        byte[] forwarded = HttpWriter.forwardedRequest(parser.head(), parser.body().length, 470);
        assertArrayEquals(
                bytes("POST /w/7?a HTTP/1.1\r\nHost: api\r\nIdempotency-Key:  k\u00e9 \r\n"
                                + "Request-Timeout-Ms: 470\r\nContent-Length: 2\r\n\r\n")
                        .array(),
                forwarded);
    }
}
