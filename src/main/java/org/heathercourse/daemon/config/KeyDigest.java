package org.heathercourse.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.regex.Pattern;

/** Digests of keys. */
final class KeyDigest {
    static final String PREFIX = "hc_";

    private static final Pattern HEX = Pattern.compile("[0-9a-fA-F]{64}");

    private KeyDigest() {}

    /** Returns whether a text is a digest in hexadecimal digits. */
    static boolean isHex(String text) {
        return text != null && HEX.matcher(text).matches();
    }

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
