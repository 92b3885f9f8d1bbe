package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/** Takes single values out of one JSON text; what is not asked for is checked and skipped. */
final class JsonReader {
    /** The text is no JSON, or not of the shape that was asked for. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String what) {
            super(what, null, false, false);
        }
    }

    /** Takes or skips the value of one member. */
    interface Member {
        void take(String name) throws Malformed;
    }

    /** Takes or skips one element. */
    interface Element {
        void take() throws Malformed;
    }

    private static final int DEEPEST = 32;
    private static final Pattern NUMBER = Pattern.compile("-?(0|[1-9]\\d*)(\\.\\d+)?([eE][+-]?\\d+)?");

    private final byte[] text;
    private int at;
    private int depth;

    JsonReader(byte[] text) {
        this.text = text;
    }

    void object(Member member) throws Malformed {
        open('{');
        for (boolean more = next() != '}'; more; ) {
            String name = string();
            expect(':');
            member.take(name);
            more = goesOn('}');
        }
        close('}');
    }

    void array(Element element) throws Malformed {
        open('[');
        for (boolean more = next() != ']'; more; ) {
            element.take();
            more = goesOn(']');
        }
        close(']');
    }

    String string() throws Malformed {
        return new String(bytes(), StandardCharsets.UTF_8);
    }

    /** A string's text in UTF-8, its escapes undone. */
    byte[] bytes() throws Malformed {
        expect('"');
        int from = at;
        while (at < text.length && text[at] != '"' && text[at] != '\\' && (text[at] & 0xff) >= ' ') {
            at++;
        }
        if (at < text.length && text[at] == '"') {
            return Arrays.copyOfRange(text, from, at++);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(2 * (at - from) + 16);
        out.write(text, from, at - from);
        while (true) {
            int b = take();
            if (b == '"') {
                return out.toByteArray();
            } else if (b == '\\') {
                unescape(out);
            } else if (b < ' ') {
                throw new Malformed("a bare control character in a string");
            } else {
                out.write(b);
            }
        }
    }

    private void unescape(ByteArrayOutputStream out) throws Malformed {
        int b = take();
        switch (b) {
            case '"', '\\', '/' -> out.write(b);
            case 'b' -> out.write('\b');
            case 'f' -> out.write('\f');
            case 'n' -> out.write('\n');
            case 'r' -> out.write('\r');
            case 't' -> out.write('\t');
            case 'u' -> {
                int code = hex();
                if (Character.isHighSurrogate((char) code)
                        && at + 1 < text.length
                        && text[at] == '\\'
                        && text[at + 1] == 'u') {
                    int mark = at;
                    at += 2;
                    int low = hex();
                    if (Character.isLowSurrogate((char) low)) {
                        code = Character.toCodePoint((char) code, (char) low);
                    } else {
                        at = mark;
                    }
                }
                byte[] utf8 = new String(Character.toChars(code)).getBytes(StandardCharsets.UTF_8);
                out.write(utf8, 0, utf8.length);
            }
            default -> throw new Malformed("no such escape");
        }
    }

    private int hex() throws Malformed {
        int code = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(take(), 16);
            if (digit < 0) {
                throw new Malformed("an escape is malformed");
            }
            code = 16 * code + digit;
        }
        return code;
    }

    double number() throws Malformed {
        next();
        int from = at;
        while (at < text.length && "+-.eE0123456789".indexOf(text[at]) >= 0) {
            at++;
        }
        String number = new String(text, from, at - from, StandardCharsets.ISO_8859_1);
        if (!NUMBER.matcher(number).matches()) {
            throw new Malformed("not a number");
        }
        double value = Double.parseDouble(number);
        if (Double.isInfinite(value)) {
            throw new Malformed("a number too large to be one");
        }
        return value;
    }

    boolean flag() throws Malformed {
        boolean yes = next() == 't';
        word(yes ? "true" : "false");
        return yes;
    }

    /** Whether null comes, which is then taken. */
    boolean isNull() throws Malformed {
        boolean none = next() == 'n';
        if (none) {
            word("null");
        }
        return none;
    }

    void skip() throws Malformed {
        switch (next()) {
            case '{' -> object(name -> skip());
            case '[' -> array(this::skip);
            case '"' -> bytes();
            case 't', 'f' -> flag();
            case 'n' -> word("null");
            default -> number();
        }
    }

    /** Nothing but white space is left. */
    void end() throws Malformed {
        while (at < text.length) {
            if (" \t\r\n".indexOf(text[at++]) < 0) {
                throw new Malformed("something stands behind the value");
            }
        }
    }

    private void open(char bracket) throws Malformed {
        expect(bracket);
        if (++depth > DEEPEST) {
            throw new Malformed("nested too deeply");
        }
    }

    private void close(char bracket) throws Malformed {
        expect(bracket);
        depth--;
    }

    /** After a member or element: true, with the comma taken, where another one follows. */
    private boolean goesOn(char bracket) throws Malformed {
        if (next() == bracket) {
            return false;
        }
        expect(',');
        return true;
    }

    private void word(String word) throws Malformed {
        for (int i = 0; i < word.length(); i++) {
            if (take() != word.charAt(i)) {
                throw new Malformed("no such value");
            }
        }
    }

    private void expect(char wanted) throws Malformed {
        if (next() != wanted) {
            throw new Malformed("expected " + wanted);
        }
        at++;
    }

    private int take() throws Malformed {
        if (at >= text.length) {
            throw new Malformed("cut short");
        }
        return text[at++] & 0xff;
    }

    /** The next character that is no white space; it stays. */
    private int next() throws Malformed {
        while (at < text.length && " \t\r\n".indexOf(text[at]) >= 0) {
            at++;
        }
        if (at >= text.length) {
            throw new Malformed("cut short");
        }
        return text[at] & 0xff;
    }
}
