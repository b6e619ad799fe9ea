package org.heathercourse.daemon.config;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.heathercourse.core.config.KeySpec;

/**
 * Makes keys of the form {@code hc_<keyId>_<secret>}.
 *
 * <p>Safe for use by several threads if the generator is.
 */
public final class KeyGenerator {
    private static final int ID_BYTES = 6;

    /** 256 bits, so that a fast digest needs no salt. */
    private static final int SECRET_BYTES = 32;

    private final RandomGenerator mRandom;

    /**
     * A new key.
     *
     * @param key the whole key, to be shown to the operator once and not kept
     * @param spec what the configuration keeps of it
     */
    public record Generated(String key, KeySpec spec) {
        @Override
        public String toString() {
            return "Generated[" + spec.keyId() + "]";
        }
    }

    /**
     * Creates a generator of keys.
     *
     * @param random a cryptographically strong source, in production a {@link
     *     java.security.SecureRandom}
     */
    public KeyGenerator(RandomGenerator random) {
        mRandom = random;
    }

    /** Makes a key. */
    public Generated generate() {
        String keyId = hex(ID_BYTES);
        String key = KeyDigest.PREFIX + keyId + "_" + hex(SECRET_BYTES);
        String digest = HexFormat.of().formatHex(KeyDigest.of(key));
        return new Generated(key, new KeySpec(keyId, digest, false));
    }

    private String hex(int length) {
        byte[] bytes = new byte[length];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
