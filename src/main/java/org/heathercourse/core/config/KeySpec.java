package org.heathercourse.core.config;

/**
 * A declared key of a workspace. Only its digest is stored, never the key itself. Immutable.
 *
 * @param keyId public part of the key, used to look it up
 * @param sha256Hex SHA-256 digest of the complete key in lower-case hexadecimal digits
 * @param withdrawn whether the key has been withdrawn
 */
public record KeySpec(String keyId, String sha256Hex, boolean withdrawn) {}
