package org.heathercourse.daemon.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual authentication by HMAC-SHA256 when a link is opened. Each side proves that it has the
 * shared secret by a MAC over its own role and the nonces and identities of both sides, so that a
 * proof cannot be reflected or replayed. Immutable and thread-safe.
 */
final class Handshake {
    /** Length of a nonce in bytes. */
    static final int NONCE_BYTES = 32;

    private final byte[] mSecret;

    Handshake(byte[] secret) {
        if (secret.length == 0) {
            throw new IllegalArgumentException(
                    "the shared secret is empty, expected at least 1 byte");
        }
        mSecret = secret.clone();
    }

    static byte[] newNonce(RandomGenerator random) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /**
     * Computes a proof.
     *
     * @param role role of the side that sends the proof: opener or acceptor
     * @param hello first frame of the opener
     * @param challenge first frame of the acceptor
     * @return the MAC
     */
    byte[] computeProof(String role, Frame hello, Frame challenge) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(mSecret, "HmacSHA256"));
            updateWithLength(mac, role.getBytes(StandardCharsets.UTF_8));
            for (Frame frame : new Frame[] {hello, challenge}) {
                updateWithLength(mac, frame.nonce());
                updateWithLength(mac, frame.vm().getBytes(StandardCharsets.UTF_8));
                mac.update(ByteBuffer.allocate(8).putLong(frame.incarnation()).array());
            }
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is not available", e);
        }
    }

    boolean verify(String role, Frame hello, Frame challenge, byte[] proof) {
        return proof != null && MessageDigest.isEqual(computeProof(role, hello, challenge), proof);
    }

    /** Returns whether a hello or challenge has the given kind and all its fields. */
    static boolean wellFormed(Frame frame, String kind) {
        return frame.k().equals(kind)
                && frame.nonce() != null
                && frame.nonce().length == NONCE_BYTES
                && frame.vm() != null;
    }

    private static void updateWithLength(Mac mac, byte[] bytes) {
        mac.update(ByteBuffer.allocate(4).putInt(bytes.length).array());
        mac.update(bytes);
    }
}
