package org.heathercourse.testing.hosted;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.RawCaller;

/**
 * A gateway of a soak, whose process is stopped and started again at the same address.
 *
 * <p>Confined to the thread that controls the soak, except {@link #address} and {@link #run}.
 */
final class SoakGateway {
    private static final int HTTP_OK = 200;

    private final Ticker mTicker;
    private final String mName;
    private final GatewayProcess mProcess;
    private final Settings mSettings;
    private final List<Run> mRuns = new ArrayList<>();
    private volatile Run mRun;

    /** The life of one process of a gateway. Thread-safe. */
    static final class Run {
        private static final long NONE = -1;

        private final String mName;
        private volatile long mStopMillis = NONE;
        private volatile long mExitMillis = NONE;
        private volatile int mExitCode;
        private volatile long mReadyMillis = NONE;

        Run(String name) {
            mName = name;
        }

        String name() {
            return mName;
        }

        /** Returns whether SIGTERM was sent. */
        boolean wasStopped() {
            return mStopMillis != NONE;
        }

        /** Returns whether the process was seen to be ready by a time in milliseconds. */
        boolean wasReadyAt(long timeMillis) {
            return mReadyMillis != NONE && mReadyMillis <= timeMillis;
        }

        /** Returns when the first SIGTERM was sent, in milliseconds. */
        long stopMillis() {
            return mStopMillis;
        }

        boolean hasExited() {
            return mExitMillis != NONE;
        }

        long exitMillis() {
            return mExitMillis;
        }

        int exitCode() {
            return mExitCode;
        }
    }

    /**
     * Starts a gateway.
     *
     * @param deployment the deployment that it belongs to
     * @param vm identity of its VM
     * @param command program and arguments that start it
     * @param variables further environment variables
     * @param output file that receives its output
     * @param ticker clock for the times of its runs
     */
    SoakGateway(
            HostedDeployment deployment,
            String vm,
            List<String> command,
            Map<String, String> variables,
            File output,
            Ticker ticker) {
        mTicker = ticker;
        mName = vm;
        mProcess = deployment.addGatewayProcess(vm, command, variables, output);
        mSettings = deployment.lastSettings();
        startRun();
    }

    /** Returns program and arguments that start a gateway with little memory. */
    static List<String> command() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx72m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxMetaspaceSize=64m",
                "-Dio.netty.allocator.type=unpooled",
                "-Dio.netty.noPreferDirect=true",
                "-cp",
                System.getProperty("java.class.path"),
                "org.heathercourse.cli.Main",
                "gateway");
    }

    private void startRun() {
        Run run = new Run(mName + "/" + (mRuns.size() + 1));
        mProcess.exitCode()
                .thenAccept(
                        code -> {
                            run.mExitCode = code;
                            run.mExitMillis = mTicker.readMillis();
                        });
        mRuns.add(run);
        mRun = run;
    }

    /** Returns the address for callers. */
    InetSocketAddress address() {
        return mSettings.endpoint(Setting.CALLER_ADDRESS);
    }

    /** Returns the life of the present process. */
    Run run() {
        return mRun;
    }

    /** Returns the lives of all processes in order. */
    List<Run> runs() {
        return mRuns;
    }

    /** Returns whether the process is ready for requests and has not been stopped. */
    boolean isServing() {
        if (mRun.wasStopped() || mRun.hasExited()) {
            return false;
        }
        if (mRun.mReadyMillis == Run.NONE && readReadiness()) {
            mRun.mReadyMillis = mTicker.readMillis();
        }
        return mRun.mReadyMillis != Run.NONE;
    }

    private boolean readReadiness() {
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.READINESS_ADDRESS), 0)) {
            caller.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            return caller.readResponse().status() == HTTP_OK;
        } catch (IOException e) {
            // The port is not open yet.
            return false;
        }
    }

    /** Returns whether the process was stopped and still runs. */
    boolean isLeaving() {
        return mRun.wasStopped() && !mRun.hasExited();
    }

    /** Sends SIGTERM; may be sent several times. */
    void stop() {
        if (!mRun.wasStopped()) {
            mRun.mStopMillis = mTicker.readMillis();
        }
        mProcess.requestStop();
    }

    /** Sends SIGHUP. */
    void hangUp() {
        mProcess.hangUp();
    }

    /** Starts a process after the last one has exited. */
    void restart() {
        mProcess.restart();
        startRun();
    }
}
