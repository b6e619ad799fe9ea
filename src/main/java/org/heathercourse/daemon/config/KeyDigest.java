package org.heathercourse.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.regex.Pattern;

/** Computes and checks the digests of keys. Stateless. */
final class KeyDigest {
    static final String KEY_PREFIX = "hc_";

    private static final Pattern HEX_DIGEST = Pattern.compile("[0-9a-fA-F]{64}");

    private KeyDigest() {}

    /** Returns whether a text is a SHA-256 digest in hexadecimal digits. */
    static boolean isHexDigest(String text) {
        return text != null && HEX_DIGEST.matcher(text).matches();
    }

    /** Returns the SHA-256 digest of a complete key. */
    static byte[] sha256(String key) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing in this Java runtime", e);
        }
    }
}
