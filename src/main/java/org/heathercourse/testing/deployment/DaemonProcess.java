package org.heathercourse.testing.deployment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A daemon of a {@link LocalDeployment} with its place: it can be killed and started again on the
 * same ports, as a replaced VM would be.
 *
 * <p>Not safe for use by several threads.
 */
public final class DaemonProcess {
    /**
     * Where the daemon listens and what it connects to.
     *
     * @param vm identity of its VM
     * @param zone its zone
     * @param callerPort port for callers
     * @param peerPort port for daemons
     * @param advertisedPeerPort port of the proxy before the peer port
     * @param operatorPort port for operators
     * @param adminPort port for health and metrics
     * @param tablePort port of the table service, or of the proxy before it
     * @param objectsPort port of the object store, or of the proxy before it
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

    private final Endpoints mPlace;
    private final Path mDirectory;
    private final List<String> mJavaOptions;
    private final List<String> mFlags;
    private final Map<String, String> mEnvironment;
    private ChildProcess mProcess;

    DaemonProcess(
            Endpoints place,
            Path directory,
            List<String> javaOptions,
            List<String> flags,
            Map<String, String> environment) {
        mPlace = place;
        mDirectory = directory;
        mJavaOptions = javaOptions;
        mFlags = flags;
        mEnvironment = environment;
    }

    /** Returns where the daemon listens. */
    public Endpoints endpoints() {
        return mPlace;
    }

    /** Returns the running process. */
    public ChildProcess process() {
        return mProcess;
    }

    /** Returns the base URL for callers. */
    public String callerUrl() {
        return "http://127.0.0.1:" + mPlace.callerPort();
    }

    /** Returns the base URL of the admin port. */
    public String adminUrl() {
        return "http://127.0.0.1:" + mPlace.adminPort();
    }

    /** Starts a new process in this place. */
    public void start() {
        List<String> arguments = new ArrayList<>(List.of("daemon"));
        add(arguments, "vm-id", mPlace.vm());
        add(arguments, "zone", mPlace.zone());
        add(arguments, "host", "127.0.0.1");
        add(arguments, "caller-port", mPlace.callerPort());
        add(arguments, "peer-port", mPlace.peerPort());
        add(arguments, "advertised-peer-port", mPlace.advertisedPeerPort());
        add(arguments, "operator-port", mPlace.operatorPort());
        add(arguments, "admin-port", mPlace.adminPort());
        add(arguments, "table-url", "http://127.0.0.1:" + mPlace.tablePort());
        add(arguments, "objects-url", "http://127.0.0.1:" + mPlace.objectsPort());
        add(arguments, "vm-list-url", "http://127.0.0.1:" + mPlace.vmListPort());
        add(arguments, "weights-url", "http://127.0.0.1:" + mPlace.weightsPort());
        arguments.addAll(mFlags);
        mProcess =
                ChildProcess.start(mPlace.vm(), mDirectory, mJavaOptions, arguments, mEnvironment);
    }

    private static void add(List<String> arguments, String flag, Object value) {
        arguments.add("--" + flag);
        arguments.add(String.valueOf(value));
    }
}
