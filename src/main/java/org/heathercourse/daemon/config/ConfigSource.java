package org.heathercourse.daemon.config;

import java.util.function.Consumer;
import org.heathercourse.core.config.DeploymentConfig;

/**
 * Provides the configuration in force at this daemon. Its revision never decreases.
 *
 * <p>Safe for use by several threads; does not block.
 */
public interface ConfigSource {
    /**
     * Returns the configuration in force; {@link DeploymentConfig#empty()} before one is loaded.
     */
    DeploymentConfig current();

    /**
     * Returns whether the evidence that the configuration is the latest is recent enough to accept
     * keys.
     */
    boolean isFresh();

    /**
     * Registers a listener that is called on the control thread with each new revision.
     *
     * @param listener receives the new configuration; must not block
     */
    void onChange(Consumer<DeploymentConfig> listener);
}
