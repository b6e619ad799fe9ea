package org.heathercourse.testing.hosted;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A gateway that runs as a process of its own.
 *
 * <p>Life cycle: start, {@link #requestStop}, {@link #restart} after the process has exited, {@link
 * #close}. Not thread-safe.
 */
final class GatewayProcess implements AutoCloseable {
    /** Time in seconds after SIGTERM that a gateway needs to leave, with a margin. */
    private static final long STOP_TIMEOUT_SECONDS = 20;

    private final ProcessBuilder mBuilder;
    private Process mProcess;

    private GatewayProcess(ProcessBuilder builder) {
        mBuilder = builder;
        mProcess = launch(builder);
    }

    /**
     * Starts a gateway whose output goes to the output of this process.
     *
     * @param command program and arguments that start a gateway
     * @param environment environment variables with the settings of the gateway
     */
    static GatewayProcess start(List<String> command, Map<String, String> environment) {
        return start(new ProcessBuilder(command).inheritIO(), environment);
    }

    /**
     * Starts a gateway whose output is appended to a file.
     *
     * @param command program and arguments that start a gateway
     * @param environment environment variables with the settings of the gateway
     * @param output file that receives the output of the gateway
     */
    static GatewayProcess start(
            List<String> command, Map<String, String> environment, File output) {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(Redirect.appendTo(output));
        return start(builder, environment);
    }

    private static GatewayProcess start(ProcessBuilder builder, Map<String, String> environment) {
        builder.environment().putAll(environment);
        return new GatewayProcess(builder);
    }

    private static Process launch(ProcessBuilder builder) {
        try {
            return builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + builder.command().get(0), e);
        }
    }

    /** Starts the gateway again with the same settings; the last process must have exited. */
    void restart() {
        if (!hasExited()) {
            throw new IllegalStateException("the gateway still runs");
        }
        mProcess = launch(mBuilder);
    }

    /** Sends SIGTERM, which starts a planned stop, and does not wait. */
    void requestStop() {
        mProcess.destroy();
    }

    /** Sends SIGHUP, which makes the gateway read its settings again. */
    void hangUp() {
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(mProcess.pid())).start();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send SIGHUP", e);
        }
    }

    /** Returns the identity of the present process at the operating system. */
    long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process has exited. */
    boolean hasExited() {
        return !mProcess.isAlive();
    }

    /** Returns a future that completes with the exit code of the present process. */
    CompletableFuture<Integer> exitCode() {
        return mProcess.onExit().thenApply(Process::exitValue);
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
