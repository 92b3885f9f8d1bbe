package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.control.MalformedMessage;

/** Checks that encoding and decoding a message are inverse, and that invalid frames are rejected. */
class FrameTest {
    private static byte[] decode(ByteBuffer frame) throws MalformedMessage {
        int header = frame.getInt();
        assertThat(Frame.isValidHeader(header), is(true));
        assertThat(frame.remaining(), is(Math.abs(header)));
        byte[] payload = new byte[frame.remaining()];
        frame.get(payload);
        return Frame.decode(header, payload);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4095, 4096, 300_000})
    void decodingReturnsTheEncodedMessage(int length) throws Exception {
        byte[] message = new byte[length];
        new SplittableRandom(length).nextBytes(message);
        assertThat(decode(Frame.encode(message)), is(message));
        Arrays.fill(message, length / 8, length, (byte) 7);
        assertThat(decode(Frame.encode(message)), is(message));
    }

    @Test
    void largeMessagesAreCompressed() {
        assertThat(Frame.encode(new byte[100_000]).remaining(), lessThan(2000));
        assertThat(Frame.encode(new byte[4000]).remaining(), is(4004));
    }

    @Test
    void invalidFramesAreRejected() {
        ByteBuffer frame = Frame.encode(new byte[100_000]);
        int header = frame.getInt();
        byte[] payload = new byte[frame.remaining()];
        frame.get(payload);
        for (int length = 0; length < payload.length; length += 7) {
            byte[] shorter = Arrays.copyOf(payload, length);
            assertThrows(MalformedMessage.class, () -> Frame.decode(header, shorter));
        }
        byte[] longer = Arrays.copyOf(payload, payload.length + 1);
        assertThrows(MalformedMessage.class, () -> Frame.decode(header, longer));
        byte[] huge = payload.clone();
        ByteBuffer.wrap(huge).putInt(Integer.MAX_VALUE);
        assertThrows(MalformedMessage.class, () -> Frame.decode(header, huge));
        assertThat(Frame.isValidHeader(0) || Frame.isValidHeader(Integer.MIN_VALUE), is(false));
    }
}
