package org.heathercourse.platform;

/**
 * A row of the table service.
 *
 * @param key key of the row
 * @param version number that increases with each write of the row, from 1
 * @param commitId identity of the transaction that wrote this version
 * @param value the content
 */
public record Row(String key, long version, String commitId, byte[] value) {
    /** Version of a row that does not exist. */
    public static final long ABSENT = 0;
}
