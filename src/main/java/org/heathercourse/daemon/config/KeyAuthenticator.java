package org.heathercourse.daemon.config;

import io.vavr.control.Either;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.KeySpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Checks keys against the digests in the configuration in force.
 *
 * <p>Each check costs one digest and one comparison in constant time, whether or not the key is
 * known, so that the time taken tells nothing about which keys exist. Safe for use by several
 * threads.
 */
public final class KeyAuthenticator implements Authenticator {
    private static final String SCHEME = "Bearer ";
    private static final int MAX_KEY_LENGTH = 512;

    /** Compared with the digest of unknown keys; no key is known to have it. */
    private static final byte[] NO_DIGEST = new byte[32];

    private final ConfigSource mConfig;
    private volatile Index mIndex = new Index(null, Map.of());

    /** A key as the index holds it. */
    private record Entry(WorkspaceId workspace, byte[] digest, boolean withdrawn) {}

    /** The keys of one configuration. */
    private record Index(DeploymentConfig config, Map<String, Entry> keys) {}

    /**
     * Creates an authenticator.
     *
     * @param config the configuration in force
     */
    public KeyAuthenticator(ConfigSource config) {
        mConfig = config;
    }

    @Override
    public Either<HeathercourseException, Principal> authenticate(String authorization) {
        if (authorization == null) {
            return Either.left(unauthenticated("there is no Authorization header"));
        }
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                || authorization.length() > MAX_KEY_LENGTH) {
            return Either.left(unauthenticated("the Authorization header has another form"));
        }
        String key = authorization.substring(SCHEME.length()).trim();
        // Freshness is read before the index: a configuration that becomes stale in between was
        // fresh when the check began.
        boolean fresh = fresh();
        String keyId = keyId(key);
        Entry entry = index().get(keyId);
        byte[] digest = KeyDigest.of(key);
        boolean matches = MessageDigest.isEqual(digest, entry == null ? NO_DIGEST : entry.digest());
        if (!fresh) {
            return Either.left(stale());
        }
        if (entry == null || !matches) {
            return Either.left(unauthenticated("the key is not known"));
        }
        if (entry.withdrawn()) {
            return Either.left(withdrawn(keyId));
        }
        return Either.right(new Principal(entry.workspace(), keyId));
    }

    @Override
    public Optional<HeathercourseException> recheck(Principal principal) {
        if (!fresh()) {
            return Optional.of(stale());
        }
        Entry entry = index().get(principal.keyId());
        boolean valid =
                entry != null
                        && !entry.withdrawn()
                        && entry.workspace().equals(principal.workspace());
        return valid ? Optional.empty() : Optional.of(withdrawn(principal.keyId()));
    }

    /**
     * A process that has not read any configuration yet cannot tell a wrong key from one that it
     * has not heard of.
     */
    private boolean fresh() {
        return mConfig.isFresh() && mConfig.current().revision() > 0;
    }

    /** Returns the public part of a key, or an empty text if the key has another form. */
    private static String keyId(String key) {
        int end = key.indexOf('_', KeyDigest.PREFIX.length());
        return key.startsWith(KeyDigest.PREFIX) && end > 0
                ? key.substring(KeyDigest.PREFIX.length(), end)
                : "";
    }

    private Map<String, Entry> index() {
        DeploymentConfig config = mConfig.current();
        Index index = mIndex;
        if (index.config() != config) {
            index = new Index(config, build(config));
            mIndex = index;
        }
        return index.keys();
    }

    private static Map<String, Entry> build(DeploymentConfig config) {
        Map<String, Entry> keys = new HashMap<>();
        for (WorkspaceSpec workspace : config.workspaces()) {
            for (KeySpec key : workspace.keys()) {
                if (!KeyDigest.isHex(key.sha256Hex())) {
                    // Validation refuses such keys; one that got in must not disturb the others.
                    continue;
                }
                byte[] digest = HexFormat.of().parseHex(key.sha256Hex());
                keys.put(key.keyId(), new Entry(workspace.workspace(), digest, key.withdrawn()));
            }
        }
        return keys;
    }

    private static HeathercourseException unauthenticated(String met) {
        return new HeathercourseException(
                ErrorKind.UNAUTHENTICATED,
                met + ", expected Authorization: Bearer with a key of a workspace",
                "send a key that an operator has issued");
    }

    private static HeathercourseException withdrawn(String keyId) {
        return new HeathercourseException(
                ErrorKind.KEY_WITHDRAWN,
                "key " + keyId + " has been withdrawn",
                "send another key of the workspace");
    }

    private static HeathercourseException stale() {
        return HeathercourseException.builder(ErrorKind.STALE_CONFIGURATION)
                .message(
                        "this daemon reaches neither the store nor a majority of the daemons, so a"
                                + " key may have been withdrawn without its knowledge")
                .remedy("repeat the request at another daemon")
                .retryAfterMillis(1_000)
                .build();
    }
}
