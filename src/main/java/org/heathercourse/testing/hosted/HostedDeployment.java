package org.heathercourse.testing.hosted;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Program;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.Gateway;
import org.heathercourse.platform.entry.HostedPlatform;

/**
 * A store, two model engines, a plain target and gateways on loopback ports. Gateways run in this
 * process or in processes of their own.
 *
 * <p>Life cycle: create, {@link #addGateway}, {@link #close}. Not thread-safe.
 */
public final class HostedDeployment implements AutoCloseable {
    /** Host name of all routes. */
    public static final String HOST = "app.example";

    /** Initial key of the workspace. */
    public static final String KEY = "key-1";

    /** Key of the second workspace that {@link #retainHistories} adds. */
    public static final String OTHER_KEY = "key-other";

    /** Route for turns whose history is retained. */
    private static final String RETAINING_ROUTE =
            ",{\"name\":\"kept\",\"host\":\""
                    + HOST
                    + "\",\"prefix\":\"/kept/\",\"type\":\"streaming\",\"resumable\":true,"
                    + "\"attempts\":1,\"timeout_ms\":5000,\"service\":\"engines\","
                    + "\"retains_history\":true,\"retention_s\":60.0},"
                    + "{\"name\":\"kept-once\",\"host\":\""
                    + HOST
                    + "\",\"prefix\":\"/kept-once/\",\"type\":\"streaming\",\"resumable\":false,"
                    + "\"attempts\":1,\"timeout_ms\":5000,\"service\":\"engines\","
                    + "\"retains_history\":true,\"retention_s\":60.0}";

    private static final String OTHER_WORKSPACE =
            ",{\"name\":\"loom\",\"api_keys\":[\""
                    + OTHER_KEY
                    + "\"],\"requests_per_s\":1000,\"burst\":1000}";

    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_BODY_BYTES = 65_536;
    private static final long HEADER_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;

    private static final CallerLimits DEFAULT_LIMITS =
            new CallerLimits(
                    MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS);

    private static final String ZONE = "zone-a";
    private static final String LOOPBACK_HOST = "127.0.0.1";

    /** Last number of the host address of the first gateway with a host address of its own. */
    private static final int FIRST_PROCESS_HOST = 2;

    private final StoreStandIn mStore = new StoreStandIn();
    private final TargetStandIn mEngineA = new TargetStandIn("engine-a");
    private final TargetStandIn mEngineB = new TargetStandIn("engine-b");
    private final TargetStandIn mPlain = new TargetStandIn("plain-a");
    private final List<Gateway> mGateways = new ArrayList<>();
    private final List<GatewayProcess> mProcesses = new ArrayList<>();
    private final List<Settings> mSettings = new ArrayList<>();
    private boolean mRetainsHistories;
    private long mVersion;

    /** Starts the store and the targets, registers the targets and writes a configuration. */
    public HostedDeployment() {
        configure(KEY, 1_000);
        mStore.register(mEngineA.id(), mEngineA.row("engines", ZONE, "ready"));
        mStore.register(mEngineB.id(), mEngineB.row("engines", ZONE, "ready"));
        mStore.register(mPlain.id(), mPlain.row("office", ZONE, "ready"));
    }

    /**
     * Adds a route under {@code /kept/} whose turns are retained, with targets' streams under
     * {@code /kept/stream}, and a second workspace; writes a new version of the configuration.
     */
    public void retainHistories() {
        mRetainsHistories = true;
        configure(KEY, 1_000);
    }

    /**
     * Writes a new version of the configuration.
     *
     * @param key key of the workspace
     * @param ratePerSecond its rate and burst, in requests per second
     */
    public void configure(String key, int ratePerSecond) {
        configure(key, ratePerSecond, MAX_BODY_BYTES);
    }

    /**
     * Writes a new version of the configuration.
     *
     * @param key key of the workspace
     * @param ratePerSecond its rate and burst, in requests per second
     * @param maxBodyBytes maximum size of the body of a request, in bytes
     */
    void configure(String key, int ratePerSecond, int maxBodyBytes) {
        configure(
                key,
                ratePerSecond,
                new CallerLimits(
                        MAX_HEADER_BYTES,
                        maxBodyBytes,
                        HEADER_TIMEOUT_MILLIS,
                        IDLE_TIMEOUT_MILLIS));
    }

    /**
     * Writes a new version of the configuration.
     *
     * @param key key of the workspace
     * @param ratePerSecond its rate and burst, in requests per second
     * @param limits limits for the requests of callers
     */
    public void configure(String key, int ratePerSecond, CallerLimits limits) {
        String workspace =
                String.format(
                        "{\"name\":\"mill\",\"api_keys\":[\"%s\"],"
                                + "\"requests_per_s\":%2$d,\"burst\":%2$d}",
                        key, ratePerSecond);
        String others = mRetainsHistories ? OTHER_WORKSPACE : "";
        writeConfiguration(limits, ",\"tenants\":[" + workspace + others + "]");
    }

    /**
     * Writes a new version of the configuration with other workspaces.
     *
     * @param workspaces value of the field that declares the workspaces, in JSON; it need not be a
     *     list of workspaces
     */
    public void configureWorkspaces(String workspaces) {
        writeConfiguration(DEFAULT_LIMITS, ",\"tenants\":" + workspaces);
    }

    /** Writes a new version of the configuration that lacks the field of the workspaces. */
    public void configureWithoutWorkspaces() {
        writeConfiguration(DEFAULT_LIMITS, "");
    }

    private void writeConfiguration(CallerLimits limits, String workspacesMember) {
        mStore.configure(
                String.format(
                        "{\"version\":%d,\"routes\":["
                                + "{\"name\":\"turns\",\"host\":\"%2$s\",\"prefix\":\"/stream/\","
                                + "\"type\":\"streaming\",\"resumable\":true,\"attempts\":1,"
                                + "\"timeout_ms\":3000,\"service\":\"engines\"},"
                                + "{\"name\":\"reads\",\"host\":\"%2$s\",\"prefix\":\"/read/\","
                                + "\"type\":\"idempotent\",\"attempts\":2,"
                                + "\"timeout_ms\":3000,\"service\":\"office\"},"
                                + "{\"name\":\"orders\",\"host\":\"%2$s\",\"prefix\":\"/order/\","
                                + "\"type\":\"non_idempotent\",\"attempts\":1,"
                                + "\"timeout_ms\":3000,\"service\":\"office\"},"
                                + "{\"name\":\"open\",\"host\":\"%2$s\",\"prefix\":\"/open/\","
                                + "\"type\":\"idempotent\",\"attempts\":1,\"public\":true,"
                                + "\"timeout_ms\":500,\"service\":\"office\"}%7$s],"
                                + "\"services\":[{\"name\":\"engines\",\"connection_limit\":64,"
                                + "\"engine\":{\"stride\":10}},"
                                + "{\"name\":\"office\",\"connection_limit\":64}],"
                                + "\"limits\":{\"max_header_bytes\":%3$d,\"max_body_bytes\":%4$d,"
                                + "\"header_timeout_ms\":%5$d,\"idle_timeout_ms\":%6$d}%8$s}",
                        ++mVersion,
                        HOST,
                        limits.maxHeaderBytes(),
                        limits.maxBodyBytes(),
                        limits.headerTimeoutMillis(),
                        limits.idleTimeoutMillis(),
                        mRetainsHistories ? RETAINING_ROUTE : "",
                        workspacesMember));
    }

    /**
     * Starts a gateway.
     *
     * @param vm identity of its VM
     * @return the settings that it runs with
     */
    public Settings addGateway(String vm) {
        return addGateway(vm, mStore);
    }

    /**
     * Starts a gateway that connects to a port of its own at the store.
     *
     * @param vm identity of its VM
     * @param store the port that the gateway connects to
     * @return the settings that it runs with
     */
    public Settings addGateway(String vm, StoreStandIn store) {
        return addGateway(vm, store, Map.of());
    }

    /**
     * Starts a gateway with changed settings.
     *
     * @param vm identity of its VM
     * @param changes settings that differ from the default
     * @return the settings that it runs with
     */
    public Settings addGateway(String vm, Map<Setting, String> changes) {
        return addGateway(vm, mStore, changes);
    }

    /**
     * Starts a gateway with changed settings that connects to a port of its own at the store.
     *
     * @param vm identity of its VM
     * @param store the port that the gateway connects to
     * @param changes settings that differ from the default
     * @return the settings that it runs with
     */
    public Settings addGateway(String vm, StoreStandIn store, Map<Setting, String> changes) {
        return addGateway(vm, store, changes, Clock.systemUTC());
    }

    /**
     * Starts a gateway with changed settings and a wall clock of its own.
     *
     * @param vm identity of its VM
     * @param store the port that the gateway connects to
     * @param changes settings that differ from the default
     * @param clock wall clock of the gateway
     * @return the settings that it runs with
     */
    public Settings addGateway(
            String vm, StoreStandIn store, Map<Setting, String> changes, Clock clock) {
        Map<String, String> environment = environment(vm, LOOPBACK_HOST, store);
        changes.forEach((setting, value) -> environment.put(setting.environmentVariable(), value));
        return addGateway(parse(environment), clock);
    }

    private Settings addGateway(Settings settings, Clock clock) {
        HostedPlatform platform =
                ServiceLoader.load(HostedPlatform.class).findFirst().orElseThrow();
        Gateway gateway =
                new Gateway(settings, platform, Ticker.system(), clock, new SecureRandom());
        gateway.start();
        mGateways.add(gateway);
        mSettings.add(settings);
        return settings;
    }

    /**
     * Starts a gateway as a process of its own.
     *
     * @param vm identity of its VM
     * @param command program and arguments that start a gateway
     * @return the settings that it runs with
     */
    Settings addGatewayProcess(String vm, List<String> command) {
        Map<String, String> environment = environment(vm, LOOPBACK_HOST, mStore);
        Settings settings = parse(environment);
        mProcesses.add(GatewayProcess.start(command, environment));
        mSettings.add(settings);
        return settings;
    }

    /**
     * Starts a gateway as a process of its own, with a host address of its own so that no outgoing
     * connection takes its ports while it restarts.
     *
     * @param vm identity of its VM
     * @param command program and arguments that start a gateway
     * @param variables further environment variables
     * @param output file that receives the output of the gateway
     * @return the process; its settings are {@link #lastSettings}
     */
    GatewayProcess addGatewayProcess(
            String vm, List<String> command, Map<String, String> variables, File output) {
        String host = "127.0.0." + (FIRST_PROCESS_HOST + mProcesses.size());
        Map<String, String> environment = environment(vm, host, mStore);
        environment.putAll(variables);
        GatewayProcess process = GatewayProcess.start(command, environment, output);
        mProcesses.add(process);
        mSettings.add(parse(environment));
        return process;
    }

    private static Settings parse(Map<String, String> environment) {
        return Settings.parse(Program.GATEWAY, new String[0], environment).get();
    }

    private static Map<String, String> environment(String vm, String host, StoreStandIn store) {
        Map<String, String> environment = new HashMap<>();
        environment.put(Setting.PLATFORM.environmentVariable(), "hosted");
        environment.put(Setting.VM_ID.environmentVariable(), vm);
        environment.put(Setting.ZONE.environmentVariable(), ZONE);
        environment.put(Setting.STORE_ADDRESS.environmentVariable(), "127.0.0.1:" + store.port());
        List<Setting> addresses =
                List.of(
                        Setting.CALLER_ADDRESS,
                        Setting.READINESS_ADDRESS,
                        Setting.DIRECTORY_ADDRESS,
                        Setting.PEER_ADDRESS,
                        Setting.METRICS_ADDRESS);
        List<Integer> ports = freePorts(host, addresses.size());
        for (int i = 0; i < addresses.size(); i++) {
            environment.put(addresses.get(i).environmentVariable(), host + ":" + ports.get(i));
        }
        return environment;
    }

    private static List<Integer> freePorts(String host, int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            List<Integer> ports = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
                sockets.add(socket);
                ports.add(socket.getLocalPort());
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return ports;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Makes the model engines crash at each request whose body contains a text. */
    public void crashEnginesOn(String text) {
        for (TargetStandIn engine : List.of(mEngineA, mEngineB)) {
            engine.crashOn(
                    text, () -> mStore.register(engine.id(), engine.row("engines", ZONE, "ready")));
        }
    }

    /** Returns the store that gateways use by default. */
    public StoreStandIn store() {
        return mStore;
    }

    /** Returns the first model engine. */
    public TargetStandIn engineA() {
        return mEngineA;
    }

    /** Returns the second model engine. */
    public TargetStandIn engineB() {
        return mEngineB;
    }

    /** Returns the plain target. */
    public TargetStandIn plain() {
        return mPlain;
    }

    /** Returns the gateways of this process in the order of their start. */
    public List<Gateway> gateways() {
        return mGateways;
    }

    /** Returns the settings of a gateway by its position in the order of the starts. */
    public Settings settings(int gateway) {
        return mSettings.get(gateway);
    }

    /** Returns the settings of the gateway that was started last. */
    Settings lastSettings() {
        return mSettings.get(mSettings.size() - 1);
    }

    @Override
    public void close() {
        mGateways.forEach(Gateway::close);
        mProcesses.forEach(GatewayProcess::close);
        mStore.close();
        mEngineA.close();
        mEngineB.close();
        mPlain.close();
    }
}
