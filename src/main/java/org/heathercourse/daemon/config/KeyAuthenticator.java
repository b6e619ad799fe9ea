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
 * Authenticates keys by comparing their digests with those in the configuration in force.
 *
 * <p>Each check computes one digest and one constant-time comparison, whether or not the key
 * exists, so that its duration does not reveal which keys exist. Safe for use by several threads.
 */
public final class KeyAuthenticator implements Authenticator {
    private static final String SCHEME_PREFIX = "Bearer ";
    private static final int MAX_HEADER_LENGTH = 512;

    /** Compared with the digests of unknown keys; no known key has an all-zero digest. */
    private static final byte[] PLACEHOLDER_DIGEST = new byte[32];

    private final ConfigSource mConfig;
    private volatile Index mIndex = new Index(null, Map.of());

    /** A declared key. */
    private record Entry(WorkspaceId workspace, byte[] digest, boolean withdrawn) {}

    /** The keys of one configuration by their identity. */
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
        if (!authorization.regionMatches(true, 0, SCHEME_PREFIX, 0, SCHEME_PREFIX.length())
                || authorization.length() > MAX_HEADER_LENGTH) {
            return Either.left(unauthenticated("the Authorization header is malformed"));
        }
        String key = authorization.substring(SCHEME_PREFIX.length()).trim();
        // Freshness is checked before the lookup: a configuration that becomes stale in between was
        // fresh when the check began.
        boolean fresh = hasFreshConfiguration();
        String keyId = extractKeyId(key);
        Entry entry = currentKeys().get(keyId);
        byte[] digest = KeyDigest.sha256(key);
        boolean matches =
                MessageDigest.isEqual(digest, entry == null ? PLACEHOLDER_DIGEST : entry.digest());
        if (!fresh) {
            return Either.left(staleConfiguration());
        }
        if (entry == null || !matches) {
            return Either.left(unauthenticated("the key is unknown"));
        }
        if (entry.withdrawn()) {
            return Either.left(keyWithdrawn(keyId));
        }
        return Either.right(new Principal(entry.workspace(), keyId));
    }

    @Override
    public Optional<HeathercourseException> recheck(Principal principal) {
        if (!hasFreshConfiguration()) {
            return Optional.of(staleConfiguration());
        }
        Entry entry = currentKeys().get(principal.keyId());
        boolean valid =
                entry != null
                        && !entry.withdrawn()
                        && entry.workspace().equals(principal.workspace());
        return valid ? Optional.empty() : Optional.of(keyWithdrawn(principal.keyId()));
    }

    /**
     * Returns whether the configuration is fresh. A process that has not loaded any configuration
     * cannot distinguish an invalid key from one that is declared but not loaded yet.
     */
    private boolean hasFreshConfiguration() {
        return mConfig.isFresh() && mConfig.current().revision() > 0;
    }

    /** Returns the public part of a key, or an empty string if the key is malformed. */
    private static String extractKeyId(String key) {
        int end = key.indexOf('_', KeyDigest.KEY_PREFIX.length());
        return key.startsWith(KeyDigest.KEY_PREFIX) && end > 0
                ? key.substring(KeyDigest.KEY_PREFIX.length(), end)
                : "";
    }

    private Map<String, Entry> currentKeys() {
        DeploymentConfig config = mConfig.current();
        Index index = mIndex;
        if (index.config() != config) {
            index = new Index(config, buildIndex(config));
            mIndex = index;
        }
        return index.keys();
    }

    private static Map<String, Entry> buildIndex(DeploymentConfig config) {
        Map<String, Entry> keys = new HashMap<>();
        for (WorkspaceSpec workspace : config.workspaces()) {
            for (KeySpec key : workspace.keys()) {
                if (!KeyDigest.isHexDigest(key.sha256Hex())) {
                    // Validation rejects such digests; one that was stored must not affect other
                    // keys.
                    continue;
                }
                byte[] digest = HexFormat.of().parseHex(key.sha256Hex());
                keys.put(key.keyId(), new Entry(workspace.workspace(), digest, key.withdrawn()));
            }
        }
        return keys;
    }

    private static HeathercourseException unauthenticated(String problem) {
        return new HeathercourseException(
                ErrorKind.UNAUTHENTICATED,
                problem + ", expected Authorization: Bearer with a key of a workspace",
                "send a key that an operator has issued");
    }

    private static HeathercourseException keyWithdrawn(String keyId) {
        return new HeathercourseException(
                ErrorKind.KEY_WITHDRAWN,
                "key " + keyId + " has been withdrawn",
                "send another key of the workspace");
    }

    private static HeathercourseException staleConfiguration() {
        return HeathercourseException.builder(ErrorKind.STALE_CONFIGURATION)
                .message(
                        "this daemon can reach neither the store nor a majority of the daemons, so"
                                + " a key may have been withdrawn since its last update")
                .remedy("retry the request at another daemon")
                .retryAfterMillis(1_000)
                .build();
    }
}
