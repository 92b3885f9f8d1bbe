package saltdale.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpParserTest {
    private static final String COUNTED =
            "POST /w/7?a=b HTTP/1.1\r\nHost: x\r\nRequest-Id:  9b \r\n" + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED = "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: 1\r\n\r\n";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static HttpParser parsed(HttpParser.Kind kind, String... parts) {
        HttpParser parser = new HttpParser(kind);
        for (String part : parts) {
            parser.take(bytes(part));
        }
        return parser;
    }

    private static int status(String request) {
        HttpParser parser = parsed(HttpParser.Kind.REQUEST, request);
        return parser.bad() ? parser.faultStatus() : 0;
    }

    @Test
    void messagesMayBeSplitAnywhere() {
        for (String whole : List.of(COUNTED, CHUNKED)) {
            for (int i = 0; i <= whole.length(); i++) {
                for (int j = i; j <= whole.length(); j++) {
                    HttpParser parser = parsed(
                            HttpParser.Kind.REQUEST, whole.substring(0, i), whole.substring(i, j), whole.substring(j));
                    assertTrue(parser.whole(), "split at " + i + " and " + j);
                    assertEquals("hello", new String(parser.body(), StandardCharsets.US_ASCII));
                }
            }
        }
    }

    @Test
    void whatFollowsAMessageStaysForTheNext() {
        ByteBuffer both = bytes(COUNTED + CHUNKED);
        HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
        parser.take(both);
        assertEquals("/w/7?a=b", parser.head().target());
        assertEquals("/w/7", parser.head().path());
        assertEquals("9b", parser.head().header("request-id"));
        parser.next();
        parser.take(both);
        assertTrue(parser.whole());
        assertEquals("/w", parser.head().target());
        assertFalse(both.hasRemaining());
    }

    @Test
    void anAnswerMayRunToTheEndOfItsConnectionAndFollowAnInterimOne() {
        HttpParser parser =
                parsed(HttpParser.Kind.ANSWER, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 503 Not Now\r\n\r\nab");
        assertFalse(parser.whole());
        parser.end();
        assertTrue(parser.whole());
        assertEquals(503, parser.head().status());
        assertFalse(parser.head().keepsAlive());
        assertEquals(2, parser.body().length);
    }

    @Test
    void anAnswerCutShortIsNotWhole() {
        HttpParser parser = parsed(HttpParser.Kind.ANSWER, "HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\nab");
        parser.end();
        assertFalse(parser.whole());
    }

    @Test
    void answersWithoutABodyAreWholeWithTheirHead() {
        assertTrue(parsed(HttpParser.Kind.ANSWER, "HTTP/1.1 204 No Content\r\n\r\n")
                .whole());
        assertTrue(parsed(HttpParser.Kind.ANSWER, "HTTP/1.1 202 \r\nContent-Length: 0\r\n\r\n")
                .whole());
    }

    @Test
    void malformedOrAmbiguousFramingIsBad() {
        String start = "POST /w HTTP/1.1\r\n";
        for (String bad : List.of(
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
            assertEquals(400, status(bad), bad);
        }
    }

    @Test
    void whatPassesTheBoundsIsBad() {
        assertEquals(413, status("POST /w HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"));
        assertEquals(0, status("POST /w HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"));
        String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
        String chunked = "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertEquals(0, status(chunked + chunk + chunk));
        assertEquals(413, status(chunked + chunk + chunk + "1\r\n"));
        assertEquals(431, status("POST /w HTTP/1.1\r\n" + "A: 1\r\n".repeat(65) + "\r\n"));
        assertEquals(431, status("POST /w HTTP/1.1\r\nA: " + "x".repeat(HttpParser.MOST_HEAD)));
    }

    @Test
    void aBodyWithASinkHasNoBound() {
        List<String> lines = new ArrayList<>();
        Lines sink = new Lines(5, line -> lines.add(new String(line, StandardCharsets.US_ASCII)));
        HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, sink);
        String whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\n\n\r\n4\r\ncde\n\r\n";
        for (char c : whole.toCharArray()) {
            parser.take(bytes(String.valueOf(c)));
        }
        assertEquals(List.of("ab", "", "cde"), lines);
        parser.take(bytes("6\r\nabcdef\r\n"));
        assertTrue(sink.tooLong());
    }

    @Test
    void whatGoesOnIsWhatCameButForThisHopsHeaders() {
        HttpParser parser = parsed(
                HttpParser.Kind.REQUEST,
                "POST /w/7?a HTTP/1.1\r\nHost: api\r\n"
                        + "Connection: close, X-Hop, Idempotency-Key\r\nX-Hop: 1\r\nRequest-Timeout-Ms: 480\r\nIdempotency-Key:  k\u00e9 \r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\n\u00ff\0\r\n0\r\n\r\n");
        byte[] on = HttpWriter.passedOn(parser.head(), parser.body().length, 470);
        assertArrayEquals(
                bytes("POST /w/7?a HTTP/1.1\r\nHost: api\r\nIdempotency-Key:  k\u00e9 \r\n"
                                + "Request-Timeout-Ms: 470\r\nContent-Length: 2\r\n\r\n")
                        .array(),
                on);
    }
}
