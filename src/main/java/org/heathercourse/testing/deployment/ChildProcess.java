package org.heathercourse.testing.deployment;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A Java process of this product that a test or bench has started.
 *
 * <p>Safe for use by several threads.
 */
public final class ChildProcess {
    private static final long STOP_SECONDS = 10;

    private final String mName;
    private final Process mProcess;
    private final Path mOutput;
    private final Path mLog;

    private ChildProcess(String name, Process process, Path output, Path log) {
        mName = name;
        mProcess = process;
        mOutput = output;
        mLog = log;
    }

    /**
     * Starts a process with the class path of this one.
     *
     * @param name name of its log files
     * @param directory where its logs go
     * @param javaOptions options of the Java runtime
     * @param arguments the command and its flags
     * @param environment additional environment variables
     * @return the process
     */
    static ChildProcess start(
            String name,
            Path directory,
            List<String> javaOptions,
            List<String> arguments,
            Map<String, String> environment) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add("org.heathercourse.cli.Main");
        command.addAll(arguments);
        File output = directory.resolve(name + ".out").toFile();
        File log = directory.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        try {
            return new ChildProcess(name, builder.start(), output.toPath(), log.toPath());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether the process runs; a paused process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process has printed a text on standard output. */
    boolean printed(String text) {
        try {
            return Files.readString(mOutput).contains(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the last lines of the process's log. */
    String logTail() {
        try {
            List<String> lines = Files.readAllLines(mLog);
            return mName
                    + ":\n"
                    + String.join("\n", lines.subList(Math.max(0, lines.size() - 8), lines.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process without notice. */
    public void kill() {
        mProcess.destroyForcibly();
        await();
    }

    /** Stops the process's execution until {@link #resume()}. */
    public void pause() {
        signal("-STOP");
    }

    /** Lets a paused process go on. */
    public void resume() {
        signal("-CONT");
    }

    /** Asks the process to end gracefully; does not wait. */
    public void terminate() {
        mProcess.destroy();
    }

    /**
     * Waits for the process to end.
     *
     * @param seconds longest time to wait in seconds
     * @return whether it ended
     */
    public boolean awaitExit(long seconds) {
        try {
            return mProcess.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void await() {
        awaitExit(STOP_SECONDS);
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(mProcess.pid()))
                    .inheritIO()
                    .start()
                    .waitFor(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
