package org.heathercourse.testing.hosted;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A gateway that runs as a process of its own. Not thread-safe. */
final class GatewayProcess implements AutoCloseable {
    /** Time in seconds after SIGTERM that a gateway needs to leave, with a margin. */
    private static final long STOP_TIMEOUT_SECONDS = 20;

    private final Process mProcess;

    private GatewayProcess(Process process) {
        mProcess = process;
    }

    /**
     * Starts a gateway whose output goes to the output of this process.
     *
     * @param command program and arguments that start a gateway
     * @param environment environment variables with the settings of the gateway
     */
    static GatewayProcess start(List<String> command, Map<String, String> environment) {
        ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
        builder.environment().putAll(environment);
        try {
            return new GatewayProcess(builder.start());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + command.get(0), e);
        }
    }

    /** Stops the gateway as planned and waits for the end of its process. */
    @Override
    public void close() {
        mProcess.destroy();
        try {
            if (!mProcess.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                mProcess.destroyForcibly();
            }
        } catch (InterruptedException e) {
            mProcess.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
