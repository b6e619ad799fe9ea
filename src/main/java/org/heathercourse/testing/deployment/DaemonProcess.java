package org.heathercourse.testing.deployment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A daemon of a {@link LocalDeployment}, which can be killed and started again on the same ports to
 * simulate the replacement of a VM.
 *
 * <p>Not thread-safe.
 */
public final class DaemonProcess {
    /**
     * The ports on which a daemon listens and the ports to which it connects, all on loopback.
     *
     * @param vm identity of the VM
     * @param zone zone of the VM
     * @param callerPort port for callers
     * @param peerPort port for other daemons
     * @param advertisedPeerPort port to which other daemons connect: of a proxy, or the peer port
     * @param operatorPort port for operators
     * @param adminPort port for health and metrics
     * @param tablePort port of the table service, or of a proxy to it
     * @param objectsPort port of the object store, or of a proxy to it
     * @param vmListPort port of the VM list
     * @param weightsPort port of the weight store
     */
    public record Endpoints(
            String vm,
            String zone,
            int callerPort,
            int peerPort,
            int advertisedPeerPort,
            int operatorPort,
            int adminPort,
            int tablePort,
            int objectsPort,
            int vmListPort,
            int weightsPort) {}

    private final Endpoints mEndpoints;
    private final Path mDirectory;
    private final List<String> mJavaOptions;
    private final List<String> mFlags;
    private final Map<String, String> mEnvironment;
    private ChildProcess mProcess;

    DaemonProcess(
            Endpoints endpoints,
            Path directory,
            List<String> javaOptions,
            List<String> flags,
            Map<String, String> environment) {
        mEndpoints = endpoints;
        mDirectory = directory;
        mJavaOptions = javaOptions;
        mFlags = flags;
        mEnvironment = environment;
    }

    /** Returns the ports of the daemon. */
    public Endpoints endpoints() {
        return mEndpoints;
    }

    /** Returns the process that was started last; null before the first start. */
    public ChildProcess process() {
        return mProcess;
    }

    /** Returns the base URL for callers. */
    public String callerUrl() {
        return "http://127.0.0.1:" + mEndpoints.callerPort();
    }

    /** Returns the base URL of the admin port. */
    public String adminUrl() {
        return "http://127.0.0.1:" + mEndpoints.adminPort();
    }

    /** Starts a new process on the ports of this daemon. */
    public void start() {
        List<String> arguments = new ArrayList<>(List.of("daemon"));
        addFlag(arguments, "vm-id", mEndpoints.vm());
        addFlag(arguments, "zone", mEndpoints.zone());
        addFlag(arguments, "host", "127.0.0.1");
        addFlag(arguments, "caller-port", mEndpoints.callerPort());
        addFlag(arguments, "peer-port", mEndpoints.peerPort());
        addFlag(arguments, "advertised-peer-port", mEndpoints.advertisedPeerPort());
        addFlag(arguments, "operator-port", mEndpoints.operatorPort());
        addFlag(arguments, "admin-port", mEndpoints.adminPort());
        addFlag(arguments, "table-url", "http://127.0.0.1:" + mEndpoints.tablePort());
        addFlag(arguments, "objects-url", "http://127.0.0.1:" + mEndpoints.objectsPort());
        addFlag(arguments, "vm-list-url", "http://127.0.0.1:" + mEndpoints.vmListPort());
        addFlag(arguments, "weights-url", "http://127.0.0.1:" + mEndpoints.weightsPort());
        arguments.addAll(mFlags);
        mProcess =
                ChildProcess.start(
                        mEndpoints.vm(), mDirectory, mJavaOptions, arguments, mEnvironment);
    }

    private static void addFlag(List<String> arguments, String flag, Object value) {
        arguments.add("--" + flag);
        arguments.add(String.valueOf(value));
    }
}
