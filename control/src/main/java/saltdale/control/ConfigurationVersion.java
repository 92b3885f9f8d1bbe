package saltdale.control;

import java.util.Map;

/**
 * One version of the configuration: the key that identifies it, its text as agreed on, and the tree and configuration
 * read from it.
 */
record ConfigurationVersion(String key, byte[] text, Map<String, Object> tree, Configuration configuration) {
    /** Parses and validates a text. */
    static ConfigurationVersion read(String key, byte[] text) throws InvalidConfiguration {
        Map<String, Object> tree = ConfigurationCodec.read(text);
        return new ConfigurationVersion(key, text, tree, new Configuration(new Fields(tree)));
    }

    /** Validates a tree and writes its text. */
    static ConfigurationVersion of(Map<String, Object> tree) throws InvalidConfiguration {
        Configuration configuration = new Configuration(new Fields(tree));
        byte[] text = ConfigurationCodec.write(tree);
        String key = configuration.revision() + "-" + ConfigurationCodec.textDigest(text);
        return new ConfigurationVersion(key, text, tree, configuration);
    }

    long revision() {
        return configuration.revision();
    }
}
