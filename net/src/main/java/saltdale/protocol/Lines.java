package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Gathers lines from bytes that come in any pieces. */
public final class Lines implements HttpParser.Sink {
    private final int most;
    private final Consumer<byte[]> whole;
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
    private boolean tooLong;

    public Lines(int most, Consumer<byte[]> whole) {
        this.most = most;
        this.whole = whole;
    }

    /** True once a line passed the bound; nothing more is taken. */
    public boolean tooLong() {
        return tooLong;
    }

    @Override
    public void part(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !tooLong) {
            byte b = bytes.get();
            if (b == '\n') {
                byte[] line = gathered.toByteArray();
                gathered.reset();
                whole.accept(line);
            } else {
                gathered.write(b);
                tooLong = gathered.size() > most;
            }
        }
    }
}
