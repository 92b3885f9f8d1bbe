package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Splits a body that arrives in arbitrary parts into lines. */
public final class LineSplitter implements HttpParser.BodySink {
    private final int maxLineBytes;
    private final Consumer<byte[]> lineConsumer;
    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();
    private boolean lineTooLong;

    /** Creates a splitter that passes each complete line, without its line end, to {@code lineConsumer}. */
    public LineSplitter(int maxLineBytes, Consumer<byte[]> lineConsumer) {
        this.maxLineBytes = maxLineBytes;
        this.lineConsumer = lineConsumer;
    }

    /** Returns true once a line has exceeded the limit; all further input is ignored. */
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
