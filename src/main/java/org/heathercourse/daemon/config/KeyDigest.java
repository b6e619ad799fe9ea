package org.heathercourse.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Digests of keys. */
final class KeyDigest {
    static final String PREFIX = "hc_";

    private KeyDigest() {}

    /** Returns the SHA-256 digest of a whole key. */
    static byte[] of(String key) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing in this Java runtime", e);
        }
    }
}
