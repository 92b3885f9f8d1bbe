package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Gathers lines from bytes that come in any pieces. */
public final class LineSplitter implements HttpParser.BodySink {
    private final int maxLineBytes;
    private final Consumer<byte[]> lineConsumer;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private boolean lineTooLong;

    public LineSplitter(int most, Consumer<byte[]> whole) {
        this.maxLineBytes = most;
        this.lineConsumer = whole;
    }

    /** True once a line passed the bound; nothing more is taken. */
    public boolean isLineTooLong() {
        return lineTooLong;
    }

    @Override
    public void bodyPart(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !lineTooLong) {
            byte b = bytes.get();
            if (b == '\n') {
                byte[] line = partialLine.toByteArray();
                partialLine.reset();
                lineConsumer.accept(line);
            } else {
                partialLine.write(b);
                lineTooLong = partialLine.size() > maxLineBytes;
            }
        }
    }
}
