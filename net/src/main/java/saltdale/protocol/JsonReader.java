package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/** Takes single values out of one JSON text; what is not asked for is checked and skipped. */
final class JsonReader {
    /** The text is no JSON, or not of the shape that was asked for. */
    static final class MalformedJsonException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedJsonException(String what) {
            super(what, null, false, false);
        }
    }

    /** Takes or skips the value of one member. */
    interface MemberHandler {
        void readMember(String name) throws MalformedJsonException;
    }

    /** Takes or skips one element. */
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

    void readObject(MemberHandler member) throws MalformedJsonException {
        openBracket('{');
        for (boolean more = peekToken() != '}'; more; ) {
            String name = readString();
            expect(':');
            member.readMember(name);
            more = hasMore('}');
        }
        closeBracket('}');
    }

    void readArray(ElementHandler element) throws MalformedJsonException {
        openBracket('[');
        for (boolean more = peekToken() != ']'; more; ) {
            element.readElement();
            more = hasMore(']');
        }
        closeBracket(']');
    }

    String readString() throws MalformedJsonException {
        return new String(readStringBytes(), StandardCharsets.UTF_8);
    }

    /** A string's text in UTF-8, its escapes undone. */
    byte[] readStringBytes() throws MalformedJsonException {
        expect('"');
        int from = position;
        while (position < text.length
                && text[position] != '"'
                && text[position] != '\\'
                && (text[position] & 0xff) >= ' ') {
            position++;
        }
        if (position < text.length && text[position] == '"') {
            return Arrays.copyOfRange(text, from, position++);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(2 * (position - from) + 16);
        out.write(text, from, position - from);
        while (true) {
            int b = nextByte();
            if (b == '"') {
                return out.toByteArray();
            } else if (b == '\\') {
                readEscape(out);
            } else if (b < ' ') {
                throw new MalformedJsonException("a bare control character in a string");
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
                    int mark = position;
                    position += 2;
                    int low = readHex4();
                    if (Character.isLowSurrogate((char) low)) {
                        code = Character.toCodePoint((char) code, (char) low);
                    } else {
                        position = mark;
                    }
                }
                byte[] utf8 = new String(Character.toChars(code)).getBytes(StandardCharsets.UTF_8);
                out.write(utf8, 0, utf8.length);
            }
            default -> throw new MalformedJsonException("no such escape");
        }
    }

    private int readHex4() throws MalformedJsonException {
        int code = 0;
        for (int i = 0; i < 4; i++) {
            int digit = Character.digit(nextByte(), 16);
            if (digit < 0) {
                throw new MalformedJsonException("an escape is malformed");
            }
            code = 16 * code + digit;
        }
        return code;
    }

    double readNumber() throws MalformedJsonException {
        peekToken();
        int from = position;
        while (position < text.length && "+-.eE0123456789".indexOf(text[position]) >= 0) {
            position++;
        }
        String number = new String(text, from, position - from, StandardCharsets.ISO_8859_1);
        if (!NUMBER.matcher(number).matches()) {
            throw new MalformedJsonException("not a number");
        }
        double value = Double.parseDouble(number);
        if (Double.isInfinite(value)) {
            throw new MalformedJsonException("a number too large to be one");
        }
        return value;
    }

    boolean readBoolean() throws MalformedJsonException {
        boolean yes = peekToken() == 't';
        readLiteral(yes ? "true" : "false");
        return yes;
    }

    /** Whether null comes, which is then taken. */
    boolean consumeNull() throws MalformedJsonException {
        boolean none = peekToken() == 'n';
        if (none) {
            readLiteral("null");
        }
        return none;
    }

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

    /** Nothing but white space is left. */
    void expectEnd() throws MalformedJsonException {
        while (position < text.length) {
            if (" \t\r\n".indexOf(text[position++]) < 0) {
                throw new MalformedJsonException("something stands behind the value");
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

    /** After a member or element: true, with the comma taken, where another one follows. */
    private boolean hasMore(char bracket) throws MalformedJsonException {
        if (peekToken() == bracket) {
            return false;
        }
        expect(',');
        return true;
    }

    private void readLiteral(String word) throws MalformedJsonException {
        for (int i = 0; i < word.length(); i++) {
            if (nextByte() != word.charAt(i)) {
                throw new MalformedJsonException("no such value");
            }
        }
    }

    private void expect(char wanted) throws MalformedJsonException {
        if (peekToken() != wanted) {
            throw new MalformedJsonException("expected " + wanted);
        }
        position++;
    }

    private int nextByte() throws MalformedJsonException {
        if (position >= text.length) {
            throw new MalformedJsonException("cut short");
        }
        return text[position++] & 0xff;
    }

    /** The next character that is no white space; it stays. */
    private int peekToken() throws MalformedJsonException {
        while (position < text.length && " \t\r\n".indexOf(text[position]) >= 0) {
            position++;
        }
        if (position >= text.length) {
            throw new MalformedJsonException("cut short");
        }
        return text[position] & 0xff;
    }
}
