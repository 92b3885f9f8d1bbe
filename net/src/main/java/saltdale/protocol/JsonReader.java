package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * A pull parser for a single JSON text.
 * Values that the caller does not need are skipped after a check of their syntax.
 */
final class JsonReader {
    /** Thrown if the text is not valid JSON, or does not have the requested structure. */
    static final class MalformedJsonException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedJsonException(String message) {
            super(message, null, false, false);
        }
    }

    /** Reads or skips the value of one object member. */
    interface MemberHandler {
        void readMember(String name) throws MalformedJsonException;
    }

    /** Reads or skips one array element. */
    interface ElementHandler {
        void readElement() throws MalformedJsonException;
    }

    private static final int MAX_DEPTH = 32;
    private static final Pattern NUMBER = Pattern.compile("-?(0|[1-9]\\d*)(\\.\\d+)?([eE][+-]?\\d+)?");

    private final byte[] text;
    private int position;
    private int depth;

    JsonReader(byte[] text) {
        this.text = text;
    }

    /** Reads an object; the handler must read or skip the value of each member. */
    void readObject(MemberHandler handler) throws MalformedJsonException {
        openBracket('{');
        for (boolean more = peekToken() != '}'; more; ) {
            String name = readString();
            expect(':');
            handler.readMember(name);
            more = hasMore('}');
        }
        closeBracket('}');
    }

    /** Reads an array; the handler must read or skip each element. */
    void readArray(ElementHandler handler) throws MalformedJsonException {
        openBracket('[');
        for (boolean more = peekToken() != ']'; more; ) {
            handler.readElement();
            more = hasMore(']');
        }
        closeBracket(']');
    }

    String readString() throws MalformedJsonException {
        return new String(readStringBytes(), StandardCharsets.UTF_8);
    }

    /** Reads a string and returns its unescaped text in UTF-8. */
    byte[] readStringBytes() throws MalformedJsonException {
        expect('"');
        int start = position;
        while (position < text.length
                && text[position] != '"'
                && text[position] != '\\'
                && (text[position] & 0xff) >= ' ') {
            position++;
        }
        if (position < text.length && text[position] == '"') {
            return Arrays.copyOfRange(text, start, position++);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(2 * (position - start) + 16);
        out.write(text, start, position - start);
        while (true) {
            int b = nextByte();
            if (b == '"') {
                return out.toByteArray();
            } else if (b == '\\') {
                readEscape(out);
            } else if (b < ' ') {
                throw new MalformedJsonException("unescaped control character in a string");
            } else {
                out.write(b);
            }
        }
    }

    private void readEscape(ByteArrayOutputStream out) throws MalformedJsonException {
        int b = nextByte();
        switch (b) {
            case '"', '\\', '/' -> out.write(b);
            case 'b' -> out.write('\b');
            case 'f' -> out.write('\f');
            case 'n' -> out.write('\n');
            case 'r' -> out.write('\r');
            case 't' -> out.write('\t');
            case 'u' -> {
                int code = readHex4();
                if (Character.isHighSurrogate((char) code)
                        && position + 1 < text.length
                        && text[position] == '\\'
                        && text[position + 1] == 'u') {
                    int afterHigh = position;
                    position += 2;
                    int low = readHex4();
                    if (Character.isLowSurrogate((char) low)) {
                        code = Character.toCodePoint((char) code, (char) low);
                    } else {
                        position = afterHigh;
                    }
                }
                byte[] utf8 = new String(Character.toChars(code)).getBytes(StandardCharsets.UTF_8);
                out.write(utf8, 0, utf8.length);
            }
            default -> throw new MalformedJsonException("unknown escape sequence");
        }
    }

    private int readHex4() throws MalformedJsonException {
        int code = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(nextByte(), 16);
            if (digit < 0) {
                throw new MalformedJsonException("malformed \\u escape sequence");
            }
            code = 16 * code + digit;
        }
        return code;
    }

    double readNumber() throws MalformedJsonException {
        peekToken();
        int start = position;
        while (position < text.length && "+-.eE0123456789".indexOf(text[position]) >= 0) {
            position++;
        }
        String number = new String(text, start, position - start, StandardCharsets.ISO_8859_1);
        if (!NUMBER.matcher(number).matches()) {
            throw new MalformedJsonException("malformed number");
        }
        double value = Double.parseDouble(number);
        if (Double.isInfinite(value)) {
            throw new MalformedJsonException("number is out of range");
        }
        return value;
    }

    boolean readBoolean() throws MalformedJsonException {
        boolean value = peekToken() == 't';
        readLiteral(value ? "true" : "false");
        return value;
    }

    /** Returns whether the next value is null, and reads it if so. */
    boolean consumeNull() throws MalformedJsonException {
        boolean isNull = peekToken() == 'n';
        if (isNull) {
            readLiteral("null");
        }
        return isNull;
    }

    /** Checks the syntax of the next value and skips it. */
    void skipValue() throws MalformedJsonException {
        switch (peekToken()) {
            case '{' -> readObject(name -> skipValue());
            case '[' -> readArray(this::skipValue);
            case '"' -> readStringBytes();
            case 't', 'f' -> readBoolean();
            case 'n' -> readLiteral("null");
            default -> readNumber();
        }
    }

    /** Checks that only white space follows. */
    void expectEnd() throws MalformedJsonException {
        while (position < text.length) {
            if (" \t\r\n".indexOf(text[position++]) < 0) {
                throw new MalformedJsonException("unexpected text after the value");
            }
        }
    }

    private void openBracket(char bracket) throws MalformedJsonException {
        expect(bracket);
        if (++depth > MAX_DEPTH) {
            throw new MalformedJsonException("nested too deeply");
        }
    }

    private void closeBracket(char bracket) throws MalformedJsonException {
        expect(bracket);
        depth--;
    }

    /** After a member or element: returns whether another one follows, and consumes the comma if so. */
    private boolean hasMore(char closingBracket) throws MalformedJsonException {
        if (peekToken() == closingBracket) {
            return false;
        }
        expect(',');
        return true;
    }

    private void readLiteral(String literal) throws MalformedJsonException {
        for (int i = 0; i < literal.length(); i++) {
            if (nextByte() != literal.charAt(i)) {
                throw new MalformedJsonException("unknown literal");
            }
        }
    }

    private void expect(char expected) throws MalformedJsonException {
        if (peekToken() != expected) {
            throw new MalformedJsonException("expected " + expected);
        }
        position++;
    }

    private int nextByte() throws MalformedJsonException {
        if (position >= text.length) {
            throw new MalformedJsonException("unexpected end of the text");
        }
        return text[position++] & 0xff;
    }

    /** Skips white space and returns the next character without consuming it. */
    private int peekToken() throws MalformedJsonException {
        while (position < text.length && " \t\r\n".indexOf(text[position]) >= 0) {
            position++;
        }
        if (position >= text.length) {
            throw new MalformedJsonException("unexpected end of the text");
        }
        return text[position] & 0xff;
    }
}
