package org.heathercourse.platform.rows;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Key of a row in the store.
 *
 * @param table name of the table
 * @param part part of the table; a transaction can only write rows of one part; may be empty
 * @param key key within the part
 */
public record RowKey(String table, String part, String key) {
    /** Maximum size in bytes of each of the three texts, as the store accepts them. */
    public static final int MAX_TEXT_BYTES = 200;

    private static final String DIGEST_PREFIX = "sha256:";

    /**
     * Returns the key of a row that is named by a text from outside, of any length. A digest stands
     * for a text that is too long; it cannot be the text of another row whose texts contain a
     * slash.
     *
     * @param table name of the table
     * @param part part of the table
     * @param text text that contains a slash
     */
    public static RowKey ofText(String table, String part, String text) {
        return new RowKey(table, part, boundedText(text, MAX_TEXT_BYTES));
    }

    /**
     * Returns a text of bounded size: the text itself, or a digest if it is larger.
     *
     * @param text text that contains a slash
     * @param maxBytes maximum size in bytes, at least that of a digest
     */
    public static String boundedText(String text, int maxBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= maxBytes ? text : digest(bytes);
    }

    private static String digest(byte[] bytes) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return DIGEST_PREFIX + HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
