package io.daisyhoist.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * Converts the configuration document to and from JSON and to the effective configuration. Stateless and thread-safe.
 */
public final class ConfigDocuments {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            // A newer release may add fields; an older daemon must still read the other fields.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private ConfigDocuments() {}

    /**
     * Merges and validates the files of a document.
     *
     * @throws InvalidConfigException with all faults, if the merged files are not valid
     */
    public static EffectiveConfig effective(ConfigDocument document) {
        return ConfigValidator.validate(document.version(), ConfigMerger.merge(document.files()));
    }

    /** Encodes a document as JSON. */
    public static String toJson(ConfigDocument document) {
        try {
            return JSON.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(ErrorCode.INTERNAL, "cannot encode the configuration document", e);
        }
    }

    /**
     * Decodes a document.
     *
     * @throws DaisyhoistException with {@link ErrorCode#INVALID_CONFIGURATION}, if the text is not a document
     */
    public static ConfigDocument fromJson(String json) {
        try {
            ConfigDocument document = JSON.readValue(json, ConfigDocument.class);
            if (document == null) {
                throw new DaisyhoistException(ErrorCode.INVALID_CONFIGURATION, "the configuration document is null");
            }
            return document;
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "the stored configuration document is damaged: " + e.getOriginalMessage(),
                    e);
        }
    }
}
