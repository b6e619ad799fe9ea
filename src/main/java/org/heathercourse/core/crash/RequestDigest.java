package org.heathercourse.core.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Identifies a request by its content, so that it is recognized when it comes again under another
 * request id, or all requests of a workspace to one path. Immutable.
 *
 * @param text digest in lower-case hexadecimal digits; that of a path starts with {@code path-}
 */
public record RequestDigest(String text) {
    /** Length in bytes; too long for two requests to have the same digest by chance. */
    private static final int DIGEST_BYTES = 16;

    private static final String PATH_PREFIX = "path-";

    /** Length that stands for an absent part, which differs from an empty one. */
    private static final int ABSENT_LENGTH = -1;

    /** Checks that the text is present. */
    public RequestDigest {
        if (text == null || text.isEmpty()) {
            throw new IllegalArgumentException("a request digest must not be empty");
        }
    }

    /**
     * Returns the digest of a request. It covers the workspace, so that no workspace can cause the
     * requests of another to be refused.
     *
     * @param workspace workspace of the caller, or null for an anonymous caller
     * @param method HTTP method
     * @param uri path with query
     * @param body complete body; empty if there is none
     */
    public static RequestDigest of(String workspace, String method, String uri, byte[] body) {
        MessageDigest sha256 = sha256();
        updateText(sha256, workspace);
        updateText(sha256, method);
        updateText(sha256, uri);
        updatePart(sha256, body);
        byte[] digest = Arrays.copyOf(sha256.digest(), DIGEST_BYTES);
        return new RequestDigest(HexFormat.of().formatHex(digest));
    }

    /**
     * Returns the digest of all requests of a workspace to one path, whatever their query and body.
     *
     * @param workspace workspace of the caller, or null for an anonymous caller
     * @param method HTTP method
     * @param uri path with query
     */
    public static RequestDigest ofPath(String workspace, String method, String uri) {
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        return new RequestDigest(PATH_PREFIX + of(workspace, method, path, new byte[0]).text());
    }

    /** Returns whether this is the digest of a path. */
    boolean isPath() {
        return text.startsWith(PATH_PREFIX);
    }

    private static void updateText(MessageDigest sha256, String text) {
        updatePart(sha256, text == null ? null : text.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds the length before the content, so that parts cannot be moved into one another. */
    private static void updatePart(MessageDigest sha256, byte[] part) {
        int length = part == null ? ABSENT_LENGTH : part.length;
        sha256.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
        if (part != null) {
            sha256.update(part);
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing in this Java runtime", e);
        }
    }

    @Override
    public String toString() {
        return text;
    }
}
