package saltdale.tools;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.EncoderBase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up the log of the tools: text or JSON lines on standard error. */
final class Logging {
    private Logging() {}

    static void format(String format) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        EncoderBase<ILoggingEvent> encoder;
        if (format.equals("json")) {
            encoder = new JsonEncoder();
        } else {
            PatternLayoutEncoder lines = new PatternLayoutEncoder();
            lines.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %level %logger{0}: %msg%n%ex");
            encoder = lines;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(console);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(ch.qos.logback.classic.Level.INFO);
    }
}
