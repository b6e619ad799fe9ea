package org.heathercourse.gateway.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.StoredRow;

/** Encodes and decodes the gateways' own rows as JSON. Safe for use by several threads. */
final class JsonRowCodec {
    private static final EventLog LOG = EventLog.of(JsonRowCodec.class);
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private JsonRowCodec() {}

    static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(value.getClass() + " cannot be written as JSON", e);
        }
    }

    /** Decodes a row; a malformed row is logged and treated as absent. */
    static <T> Optional<T> decode(StoredRow row, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(row.value(), type));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("row_unreadable", "row", row.key(), "reason", e.getMessage());
            return Optional.empty();
        }
    }
}
