package saltdale.program;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** The log: one line a record on standard error, with the trace of what was thrown. */
final class Log extends Formatter {
    private Log() {
    }

    static void begin() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new Log());
        root.addHandler(console);
    }

    @Override
    public String format(LogRecord entry) {
        String name = entry.getLoggerName();
        StringBuilder line = new StringBuilder().append(Instant.ofEpochMilli(entry.getMillis())).append(' ')
                .append(entry.getLevel()).append(' ').append(name.substring(name.lastIndexOf('.') + 1))
                .append(": ").append(formatMessage(entry)).append('\n');
        if (entry.getThrown() != null) {
            StringWriter trace = new StringWriter();
            entry.getThrown().printStackTrace(new PrintWriter(trace));
            line.append(trace);
        }
        return line.toString();
    }
}
