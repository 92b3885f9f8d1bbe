package saltdale.control;

import java.util.Map;

/**
 * One version of the configuration: the key that identifies it, its text as agreed on, and what is read from that text:
 * the tree that proxies are sent and the validated configuration.
 */
record ConfigurationVersion(String key, byte[] text, ConfigurationTree tree, Configuration configuration) {
    /** Reads and validates a text that was agreed on, perhaps by an earlier release that checked less. */
    static ConfigurationVersion readAgreed(String key, byte[] text) throws InvalidConfiguration {
        Map<String, Object> document = ConfigurationCodec.readAgreed(text);
        Configuration configuration = new Configuration(new Fields(document));
        return new ConfigurationVersion(key, text, ConfigurationTree.of(document), configuration);
    }

    /**
     * Validates a document, made of parts that {@link ConfigurationCodec#readOrder} has returned, and converts it to
     * the forms in which it is passed on, so that no version is agreed on that has none.
     */
    static ConfigurationVersion of(Map<String, Object> document) throws InvalidConfiguration {
        Configuration configuration = new Configuration(new Fields(document));
        byte[] text = ConfigurationCodec.write(document);
        if (text.length > ConfigurationCodec.MAX_TEXT_BYTES) {
            throw new InvalidConfiguration("larger than " + ConfigurationCodec.MAX_TEXT_BYTES + " bytes");
        } else if (Trees.valueCount(document) > ConfigurationCodec.MAX_VALUES) {
            throw new InvalidConfiguration("more than " + ConfigurationCodec.MAX_VALUES + " values");
        }
        String key = configuration.revision() + "-" + ConfigurationCodec.textDigest(text);
        return new ConfigurationVersion(key, text, ConfigurationTree.of(document), configuration);
    }

    long revision() {
        return configuration.revision();
    }
}
