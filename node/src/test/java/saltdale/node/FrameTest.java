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

/** Messages in frames come out as they went in, and what is no frame is refused. */
class FrameTest {
    private static byte[] body(ByteBuffer frame) throws MalformedMessage {
        int header = frame.getInt();
        assertThat(Frame.isPossible(header), is(true));
        assertThat(frame.remaining(), is(Math.abs(header)));
        byte[] sent = new byte[frame.remaining()];
        frame.get(sent);
        return Frame.body(header, sent);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4095, 4096, 300_000})
    void aMessageComesOutAsItWentIn(int length) throws Exception {
        byte[] message = new byte[length];
        new SplittableRandom(length).nextBytes(message);
        assertThat(body(Frame.of(message)), is(message));
        Arrays.fill(message, length / 8, length, (byte) 7);
        assertThat(body(Frame.of(message)), is(message));
    }

    @Test
    void largeMessagesAreCompressed() {
        assertThat(Frame.of(new byte[100_000]).remaining(), lessThan(2000));
        assertThat(Frame.of(new byte[4000]).remaining(), is(4004));
    }

    @Test
    void whatIsNoFrameIsRefused() {
        ByteBuffer frame = Frame.of(new byte[100_000]);
        int header = frame.getInt();
        byte[] sent = new byte[frame.remaining()];
        frame.get(sent);
        for (int cut = 0; cut < sent.length; cut += 7) {
            byte[] shorter = Arrays.copyOf(sent, cut);
            assertThrows(MalformedMessage.class, () -> Frame.body(header, shorter));
        }
        byte[] longer = Arrays.copyOf(sent, sent.length + 1);
        assertThrows(MalformedMessage.class, () -> Frame.body(header, longer));
        byte[] huge = sent.clone();
        ByteBuffer.wrap(huge).putInt(Integer.MAX_VALUE);
        assertThrows(MalformedMessage.class, () -> Frame.body(header, huge));
        assertThat(Frame.isPossible(0) || Frame.isPossible(Integer.MIN_VALUE), is(false));
    }
}
