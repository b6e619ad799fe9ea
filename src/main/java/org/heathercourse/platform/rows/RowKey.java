package org.heathercourse.platform.rows;

/**
 * Key of a row in the store.
 *
 * @param table name of the table
 * @param part part of the table; a transaction can only write rows of one part; may be empty
 * @param key key within the part
 */
public record RowKey(String table, String part, String key) {}
