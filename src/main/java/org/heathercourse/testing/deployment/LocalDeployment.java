package org.heathercourse.testing.deployment;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import javax.net.ssl.SSLException;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.AddKeyRequest;
import org.heathercourse.ops.v1.AddKeyResponse;
import org.heathercourse.ops.v1.ApplyRequest;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.PlanRequest;
import org.heathercourse.testing.load.Pauses;
import org.heathercourse.testing.load.StandInStats;

/**
 * A deployment on loopback: a process that hosts the stand-ins and fault-injecting proxies, one
 * process for each daemon, a configuration, and a key for each workspace.
 *
 * <p>Life cycle: {@link #start()} once, then {@link #close()} once, which kills all its processes.
 * Not thread-safe, except {@link #stats()} and {@link #callerUrls()}.
 */
public final class LocalDeployment implements AutoCloseable {
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final String OPERATOR_TOKEN = "operator-token-for-trials";
    private static final String PEER_SECRET = "peer-secret-for-local-trials";

    private final Builder mOptions;
    private final Path mDirectory;
    private final Ticker mTicker = Ticker.system();
    private final OkHttpClient mHttp = new OkHttpClient();
    private final List<DaemonProcess> mDaemons = new ArrayList<>();
    private final Map<String, String> mKeys = new LinkedHashMap<>();
    private final Map<String, String> mKeyIds = new HashMap<>();
    private final Map<String, Integer> mTargetPorts = new LinkedHashMap<>();
    private ChildProcess mStandIns;
    private StandInStats mStats;
    private OperatorConnection mOperator;

    private LocalDeployment(Builder options) {
        mOptions = options;
        try {
            mDirectory = Files.createTempDirectory("heathercourse");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a builder of a deployment with three daemons, four engines and two plain targets. */
    public static Builder builder() {
        return new Builder();
    }

    // ---- life cycle ----

    /**
     * Starts all processes, applies the configuration and adds a key to each workspace.
     *
     * @return this deployment
     */
    public LocalDeployment start() {
        startStandIns();
        for (DaemonProcess daemon : mDaemons) {
            daemon.start();
        }
        List<String> operators =
                mDaemons.stream().map(d -> "127.0.0.1:" + d.endpoints().operatorPort()).toList();
        try {
            mOperator = new OperatorConnection(operators, OPERATOR_TOKEN, mOptions.mCertificate);
        } catch (SSLException e) {
            throw new UncheckedIOException(e);
        }
        apply(mOptions.mConfiguration.apply(this));
        // A daemon that still starts cannot confirm a change, so that adding a key could fail.
        awaitReady();
        for (String workspace : mOptions.mWorkspaces) {
            addKey(workspace);
        }
        awaitReady();
        return this;
    }

    private void startStandIns() {
        int daemons = mOptions.mDaemons;
        List<Integer> ports = Ports.findFree(5 + mOptions.mEngines + mOptions.mPlain + 7 * daemons);
        int next = 0;
        int table = ports.get(next++);
        int objects = ports.get(next++);
        int vmList = ports.get(next++);
        int weights = ports.get(next++);
        int control = ports.get(next++);
        List<String> arguments = new ArrayList<>(List.of("standins"));
        addFlag(arguments, "table", table);
        addFlag(arguments, "objects", objects);
        addFlag(arguments, "vm-list", vmList);
        addFlag(arguments, "weights", weights);
        addFlag(arguments, "control", control);
        for (int i = 1; i <= mOptions.mEngines; i++) {
            int port = ports.get(next++);
            String fencing = i % 2 == 0 ? "ignore" : "check";
            String name = mOptions.mEnginePrefix + i;
            mTargetPorts.put(name, port);
            addFlag(arguments, "engine", name + "=" + port + ":" + fencing);
        }
        for (int i = 1; i <= mOptions.mPlain; i++) {
            int port = ports.get(next++);
            mTargetPorts.put("works-" + i, port);
            addFlag(arguments, "plain", "works-" + i + "=" + port);
        }
        for (int i = 0; i < daemons; i++) {
            String vm = "vm-" + (i + 1);
            int peer = ports.get(next++);
            int peerProxy = ports.get(next++);
            int tableProxy = ports.get(next++);
            int objectsProxy = ports.get(next++);
            addFlag(arguments, "proxy", "peer-" + vm + "=" + peerProxy + ":" + peer);
            addFlag(arguments, "proxy", "table-" + vm + "=" + tableProxy + ":" + table);
            addFlag(arguments, "proxy", "objects-" + vm + "=" + objectsProxy + ":" + objects);
            DaemonProcess.Endpoints endpoints =
                    new DaemonProcess.Endpoints(
                            vm,
                            mOptions.mZones.get(i % mOptions.mZones.size()),
                            ports.get(next++),
                            peer,
                            mOptions.mProxies ? peerProxy : peer,
                            ports.get(next++),
                            ports.get(next++),
                            mOptions.mProxies ? tableProxy : table,
                            mOptions.mProxies ? objectsProxy : objects,
                            vmList,
                            weights);
            mDaemons.add(
                    new DaemonProcess(
                            endpoints,
                            mDirectory,
                            mOptions.mJavaOptions,
                            mOptions.mDaemonFlags,
                            environment()));
        }
        arguments.addAll(mOptions.mStandInFlags);
        mStandIns =
                ChildProcess.start(
                        "standins",
                        mDirectory,
                        List.of("-XX:+UseSerialGC", "-Xmx1g"),
                        arguments,
                        Map.of());
        await("stand-ins are ready", () -> mStandIns.hasPrinted("\"ready\""));
        mStats = new StandInStats("http://127.0.0.1:" + control);
    }

    private Map<String, String> environment() {
        Map<String, String> environment = new HashMap<>(mOptions.mEnvironment);
        environment.put("HEATHERCOURSE_PEER_SECRET", PEER_SECRET);
        environment.put("HEATHERCOURSE_OPERATOR_TOKEN", OPERATOR_TOKEN);
        return environment;
    }

    private static void addFlag(List<String> arguments, String name, Object value) {
        arguments.add("--" + name);
        arguments.add(String.valueOf(value));
    }

    /** Waits until each running daemon reports that it is ready. */
    public void awaitReady() {
        for (DaemonProcess daemon : mDaemons) {
            if (daemon.process().isAlive()) {
                await(daemon.endpoints().vm() + " is ready", () -> isReady(daemon));
            }
        }
    }

    private boolean isReady(DaemonProcess daemon) {
        Request request = new Request.Builder().url(daemon.adminUrl() + "/readyz").build();
        try (Response response = mHttp.newCall(request).execute()) {
            return response.isSuccessful();
        } catch (IOException e) {
            return false;
        }
    }

    private void await(String what, BooleanSupplier condition) {
        long endMillis = mTicker.readMillis() + START_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (mTicker.readMillis() >= endMillis) {
                throw new IllegalStateException(
                        "condition not met within "
                                + START_TIMEOUT_MILLIS
                                + " ms: "
                                + what
                                + "\n"
                                + logTails());
            }
            Pauses.pause(50);
        }
    }

    /** Returns the last lines of the logs of all processes. */
    public String logTails() {
        StringBuilder out = new StringBuilder();
        if (mStandIns != null) {
            out.append(mStandIns.logTail()).append('\n');
        }
        for (DaemonProcess daemon : mDaemons) {
            if (daemon.process() != null) {
                out.append(daemon.process().logTail()).append('\n');
            }
        }
        return out.toString();
    }

    @Override
    public void close() {
        if (mOperator != null) {
            mOperator.close();
        }
        for (DaemonProcess daemon : mDaemons) {
            if (daemon.process() != null) {
                daemon.process().kill();
            }
        }
        if (mStandIns != null) {
            mStandIns.kill();
        }
    }

    // ---- operation ----

    /**
     * Applies a configuration; retries until a daemon accepts it, the configuration is invalid, or
     * the start timeout expires.
     *
     * @param configuration the configuration
     * @return the new revision
     * @throws IllegalStateException if the configuration is not accepted
     */
    public long apply(Configuration configuration) {
        long endMillis = mTicker.readMillis() + START_TIMEOUT_MILLIS;
        while (true) {
            try {
                PlanRequest plan = PlanRequest.newBuilder().setConfiguration(configuration).build();
                long base = mOperator.call(stub -> stub.plan(plan)).getBaseRevision();
                ApplyRequest request =
                        ApplyRequest.newBuilder()
                                .setConfiguration(configuration)
                                .setBaseRevision(base)
                                .setChangeId(UUID.randomUUID().toString())
                                .build();
                return mOperator.call(stub -> stub.apply(request)).getRevision();
            } catch (StatusRuntimeException e) {
                boolean invalid = e.getStatus().getCode() == Status.Code.INVALID_ARGUMENT;
                if (invalid || mTicker.readMillis() >= endMillis) {
                    throw new IllegalStateException(
                            "no daemon accepted the configuration\n" + logTails(), e);
                }
                Pauses.pause(100);
            }
        }
    }

    /**
     * Adds a key to a workspace; {@link #key} returns it from then on.
     *
     * @param workspace the workspace
     * @return the new key
     */
    public String addKey(String workspace) {
        AddKeyRequest request =
                AddKeyRequest.newBuilder()
                        .setWorkspace(workspace)
                        .setChangeId(UUID.randomUUID().toString())
                        .build();
        AddKeyResponse response = mOperator.call(stub -> stub.addKey(request));
        mKeys.put(workspace, response.getKey());
        mKeyIds.put(response.getKey(), response.getKeyId());
        return response.getKey();
    }

    /** Returns the operator connection to all daemons. */
    public OperatorConnection operator() {
        return mOperator;
    }

    /** Returns a new operator connection to one daemon; the caller closes it. */
    public OperatorConnection operatorAt(DaemonProcess daemon) {
        try {
            return new OperatorConnection(
                    List.of("127.0.0.1:" + daemon.endpoints().operatorPort()),
                    OPERATOR_TOKEN,
                    mOptions.mCertificate);
        } catch (SSLException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- state ----

    /** Returns the daemons. */
    public List<DaemonProcess> daemons() {
        return mDaemons;
    }

    /** Returns the directory with the logs of all processes. */
    public Path directory() {
        return mDirectory;
    }

    /** Returns the base URLs for callers of all daemons. */
    public List<String> callerUrls() {
        return mDaemons.stream().map(DaemonProcess::callerUrl).toList();
    }

    /** Returns the newest key of a workspace. */
    public String key(String workspace) {
        return mKeys.get(workspace);
    }

    /** Returns the key id of a key. */
    public String keyId(String key) {
        return mKeyIds.get(key);
    }

    /** Returns the credential of operators. */
    public String operatorToken() {
        return OPERATOR_TOKEN;
    }

    /** Returns the workspaces. */
    public List<String> workspaces() {
        return mOptions.mWorkspaces;
    }

    /** Returns the client for the counts and faults of the stand-ins. */
    public StandInStats stats() {
        return mStats;
    }

    /** Returns the ports of the targets by target id. */
    public Map<String, Integer> targetPorts() {
        return mTargetPorts;
    }

    /** Builds a {@link LocalDeployment}. Not thread-safe. */
    public static final class Builder {
        private int mDaemons = 3;
        private int mEngines = 4;
        private int mPlain = 2;
        private int mShards;
        private boolean mProxies;
        private double mRatePerSecond = 1_000;
        private double mBurst = 1_000;
        private long mBudgetTokens = 1_000_000;
        private List<String> mZones = List.of("north", "south", "east");
        private List<String> mWorkspaces = List.of("loom-hall", "harbour-mill", "dance-school");
        private List<String> mJavaOptions = List.of("-XX:+UseSerialGC", "-Xmx256m");
        private List<String> mStandInFlags = List.of();
        private List<String> mDaemonFlags = List.of();
        private String mCertificate = "";
        private String mEnginePrefix = "engine-";
        private Function<LocalDeployment, Configuration> mConfiguration =
                this::createTrialConfiguration;
        private Map<String, String> mEnvironment = Map.of();
        private final Map<String, double[]> mRates = new HashMap<>();

        private Builder() {}

        /** Sets the number of daemons. */
        public Builder daemons(int daemons) {
            mDaemons = daemons;
            return this;
        }

        /** Sets the number of model engines. */
        public Builder engines(int engines) {
            mEngines = engines;
            return this;
        }

        /** Sets the number of plain targets. */
        public Builder plain(int plain) {
            mPlain = plain;
            return this;
        }

        /** Sets the number of shards; 0 selects the default. */
        public Builder shards(int shards) {
            mShards = shards;
            return this;
        }

        /** Sets whether daemons connect to peers and stores through fault-injecting proxies. */
        public Builder proxies(boolean proxies) {
            mProxies = proxies;
            return this;
        }

        /** Sets the rate and burst of every workspace. */
        public Builder rate(double ratePerSecond, double burst) {
            mRatePerSecond = ratePerSecond;
            mBurst = burst;
            return this;
        }

        /** Sets the rate and burst of one workspace. */
        public Builder rateOf(String workspace, double ratePerSecond, double burst) {
            mRates.put(workspace, new double[] {ratePerSecond, burst});
            return this;
        }

        /** Sets further environment variables of the daemons. */
        public Builder environment(Map<String, String> environment) {
            mEnvironment = Map.copyOf(environment);
            return this;
        }

        /** Sets the workspaces. */
        public Builder workspaces(List<String> workspaces) {
            mWorkspaces = List.copyOf(workspaces);
            return this;
        }

        /** Sets the zones, which are assigned to daemons and targets round-robin. */
        public Builder zones(List<String> zones) {
            mZones = List.copyOf(zones);
            return this;
        }

        /** Sets the options of the daemons' Java runtime. */
        public Builder javaOptions(List<String> javaOptions) {
            mJavaOptions = List.copyOf(javaOptions);
            return this;
        }

        /** Sets further flags of the stand-ins. */
        public Builder standInFlags(List<String> standInFlags) {
            mStandInFlags = List.copyOf(standInFlags);
            return this;
        }

        /** Sets further flags of the daemons. */
        public Builder daemonFlags(List<String> daemonFlags) {
            mDaemonFlags = List.copyOf(daemonFlags);
            return this;
        }

        /** Sets the PEM files for TLS at the caller and operator ports; replaces daemon flags. */
        public Builder tls(Path certificate, Path key) {
            mCertificate = certificate.toString();
            return daemonFlags(
                    List.of("--tls-certificate", mCertificate, "--tls-key", key.toString()));
        }

        /** Creates the deployment without starting it. */
        public LocalDeployment build() {
            return new LocalDeployment(this);
        }

        /**
         * Replaces the default configuration.
         *
         * @param enginePrefix prefix of the engine ids, which end in a number from 1
         * @param configuration creates the configuration when the target ports are assigned
         */
        public Builder configuration(
                String enginePrefix, Function<LocalDeployment, Configuration> configuration) {
            mEnginePrefix = enginePrefix;
            mConfiguration = configuration;
            return this;
        }

        private Configuration createTrialConfiguration(LocalDeployment deployment) {
            Configuration.Builder configuration =
                    TrialConfiguration.create(
                            mShards,
                            mZones,
                            mWorkspaces,
                            deployment.mTargetPorts,
                            mRatePerSecond,
                            mBurst,
                            mBudgetTokens)
                            .toBuilder();
            configuration
                    .getWorkspacesBuilderList()
                    .forEach(
                            w -> {
                                double[] rate = mRates.get(w.getWorkspace());
                                if (rate != null) {
                                    w.setRatePerSecond(rate[0]).setBurst(rate[1]);
                                }
                            });
            return configuration.build();
        }
    }
}
