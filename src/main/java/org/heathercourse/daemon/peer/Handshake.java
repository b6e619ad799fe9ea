package org.heathercourse.daemon.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The mutual HMAC-SHA256 challenge at the opening of a link. Each side proves the shared secret
 * over the nonces and identities of both sides, under its own role, so that a proof cannot be
 * reflected or replayed. Immutable and safe for use by several threads.
 */
final class Handshake {
    /** Length of a nonce in bytes. */
    static final int NONCE_BYTES = 32;

    private final byte[] mSecret;

    Handshake(byte[] secret) {
        if (secret.length == 0) {
            throw new IllegalArgumentException("the shared secret is empty, expected at least 1");
        }
        mSecret = secret.clone();
    }

    static byte[] nonce(RandomGenerator random) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /**
     * Computes a proof.
     *
     * @param role role of the side that proves: opener or acceptor
     * @param hello first frame of the opener
     * @param challenge first frame of the acceptor
     * @return the proof
     */
    byte[] proof(String role, Frame hello, Frame challenge) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(mSecret, "HmacSHA256"));
            add(mac, role.getBytes(StandardCharsets.UTF_8));
            for (Frame frame : new Frame[] {hello, challenge}) {
                add(mac, frame.nonce());
                add(mac, frame.vm().getBytes(StandardCharsets.UTF_8));
                mac.update(ByteBuffer.allocate(8).putLong(frame.incarnation()).array());
            }
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is not available", e);
        }
    }

    boolean accepts(String role, Frame hello, Frame challenge, byte[] proof) {
        return proof != null && MessageDigest.isEqual(proof(role, hello, challenge), proof);
    }

    static boolean wellFormed(Frame frame, String kind) {
        return frame.k().equals(kind)
                && frame.nonce() != null
                && frame.nonce().length == NONCE_BYTES
                && frame.vm() != null;
    }

    private static void add(Mac mac, byte[] bytes) {
        mac.update(ByteBuffer.allocate(4).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
