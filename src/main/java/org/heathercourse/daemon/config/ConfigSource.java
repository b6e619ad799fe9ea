package org.heathercourse.daemon.config;

import java.util.function.Consumer;
import org.heathercourse.core.config.DeploymentConfig;

/**
 * The configuration in force at this daemon. Its revision never decreases.
 *
 * <p>Safe for use by several threads; does not block.
 */
public interface ConfigSource {
    /** Returns the configuration in force; {@link DeploymentConfig#empty()} before the first. */
    DeploymentConfig current();

    /** Returns whether the configuration is fresh enough to honour keys. */
    boolean isFresh();

    /**
     * Registers a listener that is called on the control thread with each new revision.
     *
     * @param listener the listener
     */
    void onChange(Consumer<DeploymentConfig> listener);
}
