package org.heathercourse.daemon.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/**
 * Converts configurations to and from JSON.
 *
 * <p>Operators' input is read strictly: unknown fields, repeated fields and trailing content are
 * errors. Stored and pushed bodies are read leniently, so that a daemon of the previous version
 * understands a body that has newer fields. Immutable and safe for use by several threads.
 */
public final class ConfigCodec {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .build();

    private static final ObjectReader STRICT =
            MAPPER.readerFor(DeploymentConfig.class)
                    .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final ObjectReader LENIENT =
            MAPPER.readerFor(DeploymentConfig.class)
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final ObjectWriter WRITER = MAPPER.writerFor(DeploymentConfig.class);

    /** Writes a configuration as UTF-8 JSON. */
    public byte[] write(DeploymentConfig config) {
        try {
            return WRITER.writeValueAsBytes(config);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("configuration cannot be written as JSON", e);
        }
    }

    /**
     * Reads an operator's input.
     *
     * @param json UTF-8 JSON
     * @return the configuration
     * @throws HeathercourseException of kind {@code BAD_REQUEST} with path and position of the
     *     fault
     */
    public DeploymentConfig readStrict(byte[] json) {
        return read(STRICT, json);
    }

    /**
     * Reads a body that a daemon wrote.
     *
     * @param json UTF-8 JSON
     * @return the configuration
     * @throws HeathercourseException of kind {@code BAD_REQUEST} if it is not a configuration
     */
    public DeploymentConfig readStored(byte[] json) {
        return read(LENIENT, json);
    }

    private static DeploymentConfig read(ObjectReader reader, byte[] json) {
        try {
            DeploymentConfig config = reader.readValue(json);
            if (config == null) {
                throw rejected("the input is null, expected a JSON object", null);
            }
            return config;
        } catch (JsonMappingException e) {
            throw rejected(path(e) + " at " + position(e.getLocation()) + ": " + reason(e), e);
        } catch (JsonProcessingException e) {
            throw rejected(
                    "malformed JSON at "
                            + position(e.getLocation())
                            + ": "
                            + e.getOriginalMessage(),
                    e);
        } catch (IOException e) {
            throw rejected("input cannot be read: " + e.getMessage(), e);
        }
    }

    private static String reason(JsonMappingException e) {
        if (e instanceof UnrecognizedPropertyException unknown) {
            return "unknown field "
                    + unknown.getPropertyName()
                    + ", expected one of "
                    + unknown.getKnownPropertyIds();
        }
        return e.getOriginalMessage();
    }

    private static String path(JsonMappingException e) {
        StringBuilder out = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            if (reference.getFieldName() == null) {
                out.append('[').append(reference.getIndex()).append(']');
            } else {
                out.append(out.length() == 0 ? "" : ".").append(reference.getFieldName());
            }
        }
        return out.length() == 0 ? "the input" : out.toString();
    }

    private static String position(JsonLocation location) {
        if (location == null) {
            return "an unknown position";
        }
        return "line " + location.getLineNr() + " column " + location.getColumnNr();
    }

    private static HeathercourseException rejected(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.BAD_REQUEST)
                .message("configuration rejected: " + message)
                .remedy("correct the input; the schema lists the fields")
                .cause(cause)
                .build();
    }
}
