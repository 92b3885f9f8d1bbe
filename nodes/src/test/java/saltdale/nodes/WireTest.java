package saltdale.nodes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.FrameDecoder;
import saltdale.nodes.wire.MalformedRecordException;
import saltdale.nodes.wire.Paths;
import saltdale.nodes.wire.RecordReader;
import saltdale.nodes.wire.RecordWriter;
import saltdale.nodes.wire.Stat;

class WireTest {
    // Encoded by hand: length 18; xid 5, getData (4), path "/a/bc" of length 5, no watch.
    private static final byte[] GET_DATA =
            HexFormat.of().parseHex("00000012" + "00000005" + "00000004" + "00000005" + "2f612f6263" + "00");

    @Test
    void writesARequestInProtocolFormat() {
        ByteBuffer framed = new RecordWriter()
                .writeInt(5)
                .writeInt(4)
                .writeString("/a/bc")
                .writeBoolean(false)
                .framed();
        assertArrayEquals(GET_DATA, framed.array());
    }

    @Test
    void decodesARequestSplitAtAnyByte() throws MalformedRecordException {
        for (int split = 0; split <= GET_DATA.length; split++) {
            List<byte[]> records = new ArrayList<>();
            FrameDecoder decoder = new FrameDecoder(1 << 20, records::add);
            decoder.decode(ByteBuffer.wrap(GET_DATA, 0, split));
            decoder.decode(ByteBuffer.wrap(GET_DATA, split, GET_DATA.length - split));
            assertEquals(1, records.size());
            RecordReader record = new RecordReader(records.get(0));
            assertEquals(5, record.readInt());
            assertEquals(4, record.readInt());
            assertEquals("/a/bc", record.readPath());
            assertEquals(false, record.readBoolean());
            record.expectEnd();
        }
    }

    @Test
    void rejectsLengthsBeyondTheLimitWithoutAllocating() {
        FrameDecoder decoder = new FrameDecoder(1 << 20, r -> {});
        decoder.decode(ByteBuffer.wrap(HexFormat.of().parseHex("7fffffff00")));
        assertNotNull(decoder.error());
        FrameDecoder negative = new FrameDecoder(1 << 20, r -> {});
        negative.decode(ByteBuffer.wrap(HexFormat.of().parseHex("ffffffff")));
        assertNotNull(negative.error());
        byte[] vector = HexFormat.of().parseHex("7fffffff");
        assertThrows(MalformedRecordException.class, () -> new RecordReader(vector).readStrings());
        assertThrows(MalformedRecordException.class, () -> new RecordReader(vector).readBuffer());
    }

    @Test
    void statAndEventSurviveARoundTrip() throws MalformedRecordException {
        Stat stat = new Stat(1, 2, 3, 4, 5, 6, 7, -8, 9, 10, 11);
        RecordWriter out = new RecordWriter();
        stat.write(out);
        Event event = new Event(Event.Kind.DELETED, "/x");
        event.write(out);
        RecordReader in = new RecordReader(out.record());
        assertEquals(stat, Stat.read(in));
        assertEquals(event, Event.read(in));
        in.expectEnd();
    }

    @Test
    void validatesPathsAsTheProtocolDoes() {
        assertNull(Paths.validationError("/"));
        assertNull(Paths.validationError("/a/b-0000000001"));
        for (String invalid : List.of("", "a", "/a/", "//", "/a/../b", "/.", "/a\u0000", "/a//b")) {
            assertNotNull(Paths.validationError(invalid), invalid);
        }
        assertEquals("/", Paths.parent("/a"));
        assertEquals("/a", Paths.parent("/a/b"));
    }

    /**
     * For any bytes in any chunks, decoding returns a value or an error, and never holds more bytes than
     * were received.
     */
    @Property(tries = 2000, seed = "5")
    void arbitraryBytesNeitherThrowNorHang(@ForAll @Size(max = 64) byte[] bytes, @ForAll int splitSeed) {
        List<byte[]> records = new ArrayList<>();
        FrameDecoder decoder = new FrameDecoder(4096, records::add);
        int at = bytes.length == 0 ? 0 : Math.floorMod(splitSeed, bytes.length);
        decoder.decode(ByteBuffer.wrap(bytes, 0, at));
        decoder.decode(ByteBuffer.wrap(bytes, at, bytes.length - at));
        int decodedBytes = records.stream().mapToInt(r -> r.length + 4).sum();
        assertTrue(decodedBytes <= bytes.length);
        try {
            RecordReader reader = new RecordReader(bytes);
            reader.readStrings();
            Stat.read(reader);
            Event.read(reader);
            reader.readPath();
        } catch (MalformedRecordException e) {
            assertNotNull(e.getMessage());
        }
    }
}
