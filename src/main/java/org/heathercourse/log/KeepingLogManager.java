package org.heathercourse.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers when the process is asked to end.
 *
 * <p>The JDK's own one drops them in a shutdown hook of its own, while a daemon still drains.
 */
public final class KeepingLogManager extends LogManager {
    @Override
    public void reset() {
        // Handlers are kept on purpose; standard error needs no closing.
    }
}
