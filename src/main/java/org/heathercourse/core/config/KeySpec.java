package org.heathercourse.core.config;

/**
 * A declared key of a workspace. The key itself is never stored.
 *
 * @param keyId public part of the key by which it is found
 * @param sha256Hex SHA-256 digest of the whole key in lower-case hexadecimal digits
 * @param withdrawn whether the key has been withdrawn
 */
public record KeySpec(String keyId, String sha256Hex, boolean withdrawn) {}
