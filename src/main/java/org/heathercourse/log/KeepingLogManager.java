package org.heathercourse.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers during the shutdown of the process.
 *
 * <p>The log manager of the JDK removes them in a shutdown hook, so that a daemon that is still
 * draining could not log.
 */
public final class KeepingLogManager extends LogManager {
    @Override
    public void reset() {
        // Keeps the handlers; standard error needs no closing.
    }
}
