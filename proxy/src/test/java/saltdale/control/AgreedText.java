package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Control nodes that find revision 2 agreed on in a form that this release would not have taken from an operator. */
public enum AgreedText {
    /** The text ends in the middle. */
    TRUNCATED {
        @Override
        String of(String text) {
            return text.substring(0, text.length() / 2);
        }
    },
    /** The name of a route ends with half of a surrogate pair. */
    HALF_CHARACTER {
        @Override
        String of(String text) {
            return text.replace("\"r-1\"", "\"r-1\\ud83d\"");
        }
    },
    /** Whatever the text is, handling it fails with an exception that nobody declared. */
    FAILS {
        @Override
        String of(String text) {
            throw new IllegalStateException("a fault of the test");
        }
    };

    abstract String of(String text);

    /** Creates a control node that finds such a text. */
    public ControlNode node(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        ConfigurationService.Factory service =
                (node, nodeSettings, register, peers) -> new ConfigurationService(node, nodeSettings, register, peers) {
                    @Override
                    ConfigurationVersion versionFor(String key, byte[] text) throws InvalidConfiguration {
                        String agreed = new String(text, StandardCharsets.UTF_8);
                        return agreed.startsWith("{\"revision\":2,")
                                ? ConfigurationVersion.readAgreed(
                                        key, of(agreed).getBytes(StandardCharsets.UTF_8))
                                : super.versionFor(key, text);
                    }
                };
        return new ControlNode(environment, settings, platform, records, ControlNode.Components.DEFAULT.with(service));
    }
}
