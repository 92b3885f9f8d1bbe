package saltdale.rig.experiment;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltdale.rig.plan.InvalidInputException;

/** A condition on figures, such as {@code now.service >= before.service - 0.02}. */
public final class Expectation {
    private static final Pattern LINE_PATTERN = Pattern.compile(
            "\\s*([A-Za-z][\\w.%-]*)\\s*(<=|>=|==|!=|<|>)\\s*([A-Za-z][\\w.%-]*|-?[\\d.]+)\\s*(?:([*+-])\\s*([\\d.]+))?\\s*");

    /** Whether a condition is met, with a line of text for the user. */
    public record Verdict(boolean met, String text) {}

    private final String line;
    private final Matcher parts;

    /**
     * Parses a condition.
     *
     * @param file name of the experiment file, for error messages
     */
    public Expectation(String file, String line) {
        this.line = line;
        parts = LINE_PATTERN.matcher(line);
        if (!parts.matches()) {
            throw new InvalidInputException(file + ": expect: \"" + line
                    + "\" is not of the form \"figure >= number\" or " + "\"figure <= other.figure * 1.1\"");
        }
    }

    /** Evaluates the condition; it is not met if a figure is unknown. */
    public Verdict judge(Map<String, Double> figures) {
        Double left = figures.get(parts.group(1));
        boolean isNumber = parts.group(3).matches("-?[\\d.]+");
        Double right = isNumber ? Double.valueOf(parts.group(3)) : figures.get(parts.group(3));
        if (left == null || right == null) {
            return new Verdict(false, line + ": unknown figure " + (left == null ? parts.group(1) : parts.group(3)));
        }
        if (parts.group(4) != null) {
            double operand = Double.parseDouble(parts.group(5));
            right = switch (parts.group(4)) {
                case "*" -> right * operand;
                case "+" -> right + operand;
                default -> right - operand;
            };
        }
        boolean met = switch (parts.group(2)) {
            case "<=" -> left <= right;
            case ">=" -> left >= right;
            case "<" -> left < right;
            case ">" -> left > right;
            case "==" -> left.doubleValue() == right;
            default -> left.doubleValue() != right;
        };
        return new Verdict(met, String.format(Locale.ROOT, "%s: %.4g against %.4g", line, left, right));
    }
}
