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
 * Formats log records for standard error: as a line of text, followed by the stack trace of the exception if there is
 * one, or as a JSON object on one line.
 */
final class LogFormatter extends Formatter {
    private final boolean json;

    private LogFormatter(boolean json) {
        this.json = json;
    }

    /** Installs the formatter; the format is "json" for JSON objects, anything else or null for text. */
    static void install(String format) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new LogFormatter("json".equals(format)));
        root.addHandler(console);
    }

    @Override
    public String format(LogRecord logRecord) {
        String loggerName = logRecord.getLoggerName();
        if (json) {
            return toJson(logRecord, loggerName.substring(loggerName.lastIndexOf('.') + 1));
        }
        StringBuilder line = new StringBuilder()
                .append(Instant.ofEpochMilli(logRecord.getMillis()))
                .append(' ')
                .append(logRecord.getLevel())
                .append(' ')
                .append(loggerName.substring(loggerName.lastIndexOf('.') + 1))
                .append(": ")
                .append(formatMessage(logRecord))
                .append('\n');
        if (logRecord.getThrown() != null) {
            StringWriter stackTrace = new StringWriter();
            logRecord.getThrown().printStackTrace(new PrintWriter(stackTrace));
            line.append(stackTrace);
        }
        return line.toString();
    }

    private String toJson(LogRecord logRecord, String loggerName) {
        StringBuilder line = new StringBuilder()
                .append("{\"at\":\"")
                .append(Instant.ofEpochMilli(logRecord.getMillis()))
                .append("\",\"level\":\"")
                .append(logRecord.getLevel())
                .append("\",\"from\":");
        appendQuoted(line, loggerName);
        appendQuoted(line.append(",\"message\":"), formatMessage(logRecord));
        if (logRecord.getThrown() != null) {
            StringWriter stackTrace = new StringWriter();
            logRecord.getThrown().printStackTrace(new PrintWriter(stackTrace));
            appendQuoted(line.append(",\"trace\":"), stackTrace.toString());
        }
        return line.append("}\n").toString();
    }

    private static void appendQuoted(StringBuilder line, String text) {
        line.append('"')
                .append(JsonStringEncoder.getInstance().quoteAsString(text))
                .append('"');
    }
}
