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
 * <p>Input from operators is parsed strictly: unknown fields, repeated fields and trailing content
 * are errors. In stored and pushed bodies unknown fields are ignored, so that a daemon of the
 * previous version can read a body with newer fields. Immutable and safe for use by several
 * threads.
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
     * Parses input from an operator.
     *
     * @param json UTF-8 JSON
     * @return the configuration
     * @throws HeathercourseException of kind {@code BAD_REQUEST} with the path and position of the
     *     error
     */
    public DeploymentConfig readStrict(byte[] json) {
        return read(STRICT, json);
    }

    /**
     * Parses a body that was written by a daemon; unknown fields are ignored.
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
                throw badRequest("the input is null, expected a JSON object", null);
            }
            return config;
        } catch (JsonMappingException e) {
            throw badRequest(
                    describePath(e)
                            + " at "
                            + describePosition(e.getLocation())
                            + ": "
                            + describe(e),
                    e);
        } catch (JsonProcessingException e) {
            throw badRequest(
                    "malformed JSON at "
                            + describePosition(e.getLocation())
                            + ": "
                            + e.getOriginalMessage(),
                    e);
        } catch (IOException e) {
            throw badRequest("input cannot be read: " + e.getMessage(), e);
        }
    }

    private static String describe(JsonMappingException e) {
        if (e instanceof UnrecognizedPropertyException unknown) {
            return "unknown field "
                    + unknown.getPropertyName()
                    + ", expected one of "
                    + unknown.getKnownPropertyIds();
        }
        return e.getOriginalMessage();
    }

    private static String describePath(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
            } else {
                path.append(path.length() == 0 ? "" : ".").append(reference.getFieldName());
            }
        }
        return path.length() == 0 ? "the input" : path.toString();
    }

    private static String describePosition(JsonLocation location) {
        if (location == null) {
            return "an unknown position";
        }
        return "line " + location.getLineNr() + " column " + location.getColumnNr();
    }

    private static HeathercourseException badRequest(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.BAD_REQUEST)
                .message("configuration rejected: " + message)
                .remedy("correct the input; the schema lists the fields")
                .cause(cause)
                .build();
    }
}
