package saltdale.program;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log: one line a record on standard error, with the trace of what was thrown; or an object of JSON a
 * line.
 */
final class Log extends Formatter {
    private final boolean json;

    private Log(boolean json) {
        this.json = json;
    }

    /** {@code form}: "json" for objects, anything else or null for text. */
    static void begin(String form) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new Log("json".equals(form)));
        root.addHandler(console);
    }

    @Override
    public String format(LogRecord entry) {
        String name = entry.getLoggerName();
        if (json) {
            return object(entry, name.substring(name.lastIndexOf('.') + 1));
        }
        StringBuilder line = new StringBuilder()
                .append(Instant.ofEpochMilli(entry.getMillis()))
                .append(' ')
                .append(entry.getLevel())
                .append(' ')
                .append(name.substring(name.lastIndexOf('.') + 1))
                .append(": ")
                .append(formatMessage(entry))
                .append('\n');
        if (entry.getThrown() != null) {
            StringWriter trace = new StringWriter();
            entry.getThrown().printStackTrace(new PrintWriter(trace));
            line.append(trace);
        }
        return line.toString();
    }

    private String object(LogRecord entry, String name) {
        StringBuilder line = new StringBuilder()
                .append("{\"at\":\"")
                .append(Instant.ofEpochMilli(entry.getMillis()))
                .append("\",\"level\":\"")
                .append(entry.getLevel())
                .append("\",\"from\":");
        quoted(line, name);
        quoted(line.append(",\"message\":"), formatMessage(entry));
        if (entry.getThrown() != null) {
            StringWriter trace = new StringWriter();
            entry.getThrown().printStackTrace(new PrintWriter(trace));
            quoted(line.append(",\"trace\":"), trace.toString());
        }
        return line.append("}\n").toString();
    }

    private static void quoted(StringBuilder line, String text) {
        line.append('"')
                .append(JsonStringEncoder.getInstance().quoteAsString(text))
                .append('"');
    }
}
