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
 * A Java child process that runs a command of this project for a test or bench.
 *
 * <p>Thread-safe.
 */
public final class ChildProcess {
    private static final long STOP_TIMEOUT_SECONDS = 10;

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
     * Starts a process with the class path of this process.
     *
     * @param name base name of its output and log files
     * @param directory directory of these files
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

    /** Returns whether the process has not ended; true for a paused process. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the standard output so far contains a text. */
    boolean hasPrinted(String text) {
        try {
            return Files.readString(mOutput).contains(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the last 8 lines of the standard error output, after the name of the process. */
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

    /** Kills the process and waits up to 10 s for its end. */
    public void kill() {
        mProcess.destroyForcibly();
        await();
    }

    /** Suspends the process with SIGSTOP until {@link #resume()}. */
    public void pause() {
        signal("-STOP");
    }

    /** Resumes a suspended process with SIGCONT. */
    public void resume() {
        signal("-CONT");
    }

    /** Requests a graceful end of the process; does not wait for it. */
    public void terminate() {
        mProcess.destroy();
    }

    /**
     * Waits for the process to end.
     *
     * @param seconds maximum time to wait, in seconds
     * @return whether the process has ended; false if the thread was interrupted
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
        awaitExit(STOP_TIMEOUT_SECONDS);
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(mProcess.pid()))
                    .inheritIO()
                    .start()
                    .waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
