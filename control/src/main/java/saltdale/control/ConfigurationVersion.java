package saltdale.control;

import java.util.Map;

/**
 * One version of the configuration: the key that identifies it, its text as agreed on, and what is read from that text:
 * the document, the same as a tree that proxies are sent, and the validated configuration.
 */
record ConfigurationVersion(
        String key, byte[] text, Map<String, Object> document, ConfigurationTree tree, Configuration configuration) {
    /** Reads and validates a text that was agreed on, perhaps by an earlier release that checked less. */
    static ConfigurationVersion readAgreed(String key, byte[] text) throws InvalidConfiguration {
        Map<String, Object> document = ConfigurationCodec.readAgreed(text);
        Configuration configuration = new Configuration(new Fields(document));
        return new ConfigurationVersion(key, text, document, ConfigurationTree.of(document), configuration);
    }

    /**
     * Writes the text of a document and validates what other nodes will read from it, so that no version is agreed on
     * that they cannot read or send to proxies.
     */
    static ConfigurationVersion of(Map<String, Object> document) throws InvalidConfiguration {
        byte[] text = ConfigurationCodec.write(document);
        Map<String, Object> readBack = ConfigurationCodec.read(text);
        Configuration configuration = new Configuration(new Fields(readBack));
        String key = configuration.revision() + "-" + ConfigurationCodec.textDigest(text);
        return new ConfigurationVersion(key, text, readBack, ConfigurationTree.of(readBack), configuration);
    }

    long revision() {
        return configuration.revision();
    }
}
