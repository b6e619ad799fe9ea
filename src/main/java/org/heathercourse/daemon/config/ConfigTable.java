package org.heathercourse.daemon.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * Reads the configuration from its table rows and prepares the transactions that write it.
 *
 * <p>Row {@code config/head} holds only the number of the latest revision, because every daemon
 * reads it each second. Row {@code config/rev/<n>} holds the body of revision n, or the name of an
 * object for bodies above {@link #MAX_INLINE_BYTES}. Row {@code config/change/<id>} holds the
 * revision that a change created, so that a retry is recognised at any later time. All three are
 * written in one transaction. Calls block. Safe for use by several threads.
 */
public final class ConfigTable {
    /** Maximum size of a body stored in a row, in bytes; larger bodies are stored as objects. */
    public static final int MAX_INLINE_BYTES = 256 * 1024;

    static final String HEAD_KEY = "config/head";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TableStore mTable;
    private final ObjectStore mObjects;
    private final ConfigCodec mCodec;

    /**
     * The content of the head row.
     *
     * @param revision latest revision; 0 if the table is empty
     * @param rowVersion version of the head row; {@link Row#ABSENT} if the table is empty
     */
    public record Head(long revision, long rowVersion) {}

    /** Creates the access to the configuration rows of a table. */
    public ConfigTable(TableStore table, ObjectStore objects, ConfigCodec codec) {
        mTable = table;
        mObjects = objects;
        mCodec = codec;
    }

    /** Reads the head row. */
    public Head readHead() {
        Optional<Row> row = mTable.read(HEAD_KEY);
        return row.map(
                        headRow ->
                                new Head(
                                        parseJson(headRow).path("revision").asLong(),
                                        headRow.version()))
                .orElse(new Head(0, Row.ABSENT));
    }

    /**
     * Reads a revision.
     *
     * @param revision the revision; 0 stands for the empty configuration
     * @return the configuration, or empty if there is no such revision
     */
    public Optional<DeploymentConfig> readRevision(long revision) {
        if (revision == 0) {
            return Optional.of(DeploymentConfig.empty());
        }
        return mTable.read(revisionKey(revision))
                .map(row -> mCodec.readStored(readBody(row)).withRevision(revision));
    }

    /**
     * Returns the revision that a change created.
     *
     * @param changeId identity of the change
     * @return the revision, or empty if no such change was committed
     */
    OptionalLong revisionOfChange(String changeId) {
        Optional<Row> row = mTable.read(changeKey(changeId));
        return row.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(parseJson(row.get()).path("revision").asLong());
    }

    /**
     * Returns the commit identity of the transaction that wrote a revision, or empty if there is no
     * such revision.
     */
    Optional<String> commitIdOf(long revision) {
        return mTable.read(revisionKey(revision)).map(Row::commitId);
    }

    /**
     * Prepares the transaction that makes a configuration the latest; stores a large body as an
     * object.
     *
     * @param head head row that must be unchanged at the commit
     * @param config the configuration with its new revision
     * @param commitId identity of the transaction
     */
    Transaction prepareCommit(Head head, DeploymentConfig config, String commitId) {
        byte[] body = mCodec.write(config);
        ObjectNode row = MAPPER.createObjectNode().put("revision", config.revision());
        if (body.length <= MAX_INLINE_BYTES) {
            row.set("config", toJsonTree(body));
        } else {
            // Attempts of one change may have different bodies, so each body needs its own object.
            UUID content = UUID.nameUUIDFromBytes(body);
            String name = "config/rev/" + config.revision() + "/" + commitId + "/" + content;
            mObjects.put(name, body);
            row.put("object", name);
        }
        ObjectNode headRow = MAPPER.createObjectNode().put("revision", config.revision());
        return Transaction.builder(commitId)
                .put(HEAD_KEY, head.rowVersion(), toBytes(headRow))
                .put(revisionKey(config.revision()), Row.ABSENT, toBytes(row))
                .put(changeKey(commitId), Row.ABSENT, toBytes(headRow))
                .build();
    }

    private byte[] readBody(Row row) {
        JsonNode content = parseJson(row);
        String object = content.path("object").asText("");
        if (object.isEmpty()) {
            return toBytes(content.path("config"));
        }
        return mObjects.get(object)
                .orElseThrow(() -> corrupted("object " + object + " is missing", null));
    }

    private static String changeKey(String changeId) {
        return "config/change/" + changeId;
    }

    static String revisionKey(long revision) {
        return "config/rev/" + revision;
    }

    private static JsonNode parseJson(Row row) {
        try {
            return MAPPER.readTree(row.value());
        } catch (IOException e) {
            throw corrupted("row " + row.key() + " is not JSON", e);
        }
    }

    private static JsonNode toJsonTree(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException("configuration was not written as JSON", e);
        }
    }

    private static byte[] toBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("row cannot be written as JSON", e);
        }
    }

    private static HeathercourseException corrupted(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.INTERNAL)
                .message(message + ", expected a configuration")
                .remedy("restore the row from a backup of the table")
                .cause(cause)
                .build();
    }
}
