package saltdale.control;

import java.util.Map;

/** One version of the configuration: its text as it is agreed on, the key that names it, and what was read from it. */
record ConfigurationVersion(String key, byte[] text, Map<String, Object> tree, Configuration configuration) {
    /** The version that this text holds; it is checked. */
    static ConfigurationVersion read(String key, byte[] text) throws InvalidConfiguration {
        Map<String, Object> tree = ConfigurationCodec.read(text);
        return new ConfigurationVersion(key, text, tree, new Configuration(new Fields(tree)));
    }

    /** The version of this tree, which is checked before it is written. */
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
