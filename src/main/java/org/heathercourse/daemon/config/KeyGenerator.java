package org.heathercourse.daemon.config;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.heathercourse.core.config.KeySpec;

/**
 * Generates keys of the form {@code hc_<keyId>_<secret>}.
 *
 * <p>Safe for use by several threads if the random generator is.
 */
public final class KeyGenerator {
    private static final int ID_BYTES = 6;

    /** 256 random bits, so that a fast digest without salt is safe to store. */
    private static final int SECRET_BYTES = 32;

    private final RandomGenerator mRandom;

    /**
     * A generated key.
     *
     * @param key the complete key, shown to the operator once and never stored
     * @param spec declaration of the key for the configuration: its identity and digest
     */
    public record Generated(String key, KeySpec spec) {
        @Override
        public String toString() {
            return "Generated[" + spec.keyId() + "]";
        }
    }

    /**
     * Creates a key generator.
     *
     * @param random a cryptographically strong source, in production a {@link
     *     java.security.SecureRandom}
     */
    public KeyGenerator(RandomGenerator random) {
        mRandom = random;
    }

    /** Generates a key. */
    public Generated generate() {
        String keyId = randomHex(ID_BYTES);
        String key = KeyDigest.KEY_PREFIX + keyId + "_" + randomHex(SECRET_BYTES);
        String digest = HexFormat.of().formatHex(KeyDigest.sha256(key));
        return new Generated(key, new KeySpec(keyId, digest, false));
    }

    private String randomHex(int byteCount) {
        byte[] bytes = new byte[byteCount];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
