package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.proxy.FaultProxy;

/**
 * All stand-ins of a process: stores, VM list, weight store, engines, plain services, proxies and
 * the control port. {@link #start} opens all ports and {@link #close()} closes them. Thread-safe.
 */
public final class StandIns implements AutoCloseable {
    /** Parts that accept faults in addition to the targets, which are addressed by id. */
    private static final List<String> STORES = List.of("table", "objects", "vmlist", "weights");

    private final EventLoopGroup mLoops;
    private final ExecutorService mControlThread =
            Executors.newSingleThreadExecutor(new DefaultThreadFactory("stand-in-control", true));
    private final RandomGeneratorFactory<RandomGenerator> mRandoms =
            RandomGeneratorFactory.of("L64X128MixRandom");
    private final Ticker mTicker;
    private final StandInSettings mSettings;
    private final Accounting mAccounting;
    private final TableStandIn mTable;
    private final ObjectStandIn mObjects;
    private final WeightStandIn mWeights;
    private final VmListStandIn mVmList;
    private final Map<String, FaultSwitches> mFaults = new LinkedHashMap<>();
    private final Map<String, HttpPort> mPorts = new LinkedHashMap<>();
    private final Map<String, EngineStandIn> mEngines = new LinkedHashMap<>();
    private final Map<String, FaultProxy> mProxies = new LinkedHashMap<>();
    private final HttpPort mControl;
    private long mNextSeed;

    private StandIns(StandInSettings settings, Ticker ticker) {
        mSettings = settings;
        mTicker = ticker;
        mNextSeed = settings.seed();
        mLoops =
                new MultiThreadIoEventLoopGroup(
                        settings.threads(),
                        new DefaultThreadFactory("stand-in", true),
                        NioIoHandler.newFactory());
        mAccounting = new Accounting(ticker);
        mTable = new TableStandIn(createReadLimit(), createWriteLimit());
        mObjects = new ObjectStandIn(createReadLimit(), createWriteLimit());
        mWeights =
                new WeightStandIn(ticker, settings.weightBytesPerSecond(), settings.modelBytes());
        mVmList = new VmListStandIn(ticker, faultsOf("vmlist"), settings.vmListLagMillis());
        openPort("table", settings.tablePort(), mTable);
        openPort("objects", settings.objectPort(), mObjects);
        openPort("vmlist", settings.vmListPort(), mVmList);
        openPort("weights", settings.weightPort(), mWeights);
        EngineFleet fleet = new EngineFleet(mAccounting, mWeights);
        settings.engines().forEach((id, engine) -> openEngine(fleet, id, engine));
        settings.plain()
                .forEach(
                        (id, port) ->
                                openPort(id, port, new PlainStandIn(id, mLoops, mAccounting)));
        settings.proxies().forEach((name, p) -> openProxy(name, p.listenPort(), p.targetPort()));
        mControl =
                new HttpPort(
                        mLoops,
                        settings.controlPort(),
                        new FaultSwitches(ticker, nextRandom()),
                        new ControlPort(this, mControlThread));
    }

    /**
     * Starts stand-ins that use the system ticker.
     *
     * @param settings the stand-ins to host
     * @return the running stand-ins
     */
    public static StandIns start(StandInSettings settings) {
        return new StandIns(settings, Ticker.system());
    }

    // ---- Addresses ----

    /**
     * Returns the base URL of a part: table, objects, vmlist, weights or the identity of a target.
     *
     * @throws IllegalArgumentException if there is no such part
     */
    public String baseUrl(String part) {
        HttpPort port = mPorts.get(part);
        if (port == null) {
            throw new IllegalArgumentException(
                    "unknown part " + part + ", expected one of " + mPorts.keySet());
        }
        return port.baseUrl();
    }

    /** Returns the base URL of the control port. */
    public String controlUrl() {
        return mControl.baseUrl();
    }

    /** Returns all addresses as JSON. */
    public ObjectNode addresses() {
        ObjectNode json = Exchange.JSON.createObjectNode();
        json.put("control", controlUrl());
        STORES.forEach(part -> json.put(part, baseUrl(part)));
        ObjectNode engines = json.putObject("engines");
        mSettings.engines().keySet().forEach(id -> engines.put(id, baseUrl(id)));
        ObjectNode plain = json.putObject("plain");
        mSettings.plain().keySet().forEach(id -> plain.put(id, baseUrl(id)));
        ObjectNode proxies = json.putObject("proxies");
        synchronized (mProxies) {
            mProxies.forEach((name, proxy) -> proxies.put(name, "127.0.0.1:" + proxy.port()));
        }
        return json;
    }

    // ---- Reports ----

    /** Returns all counters. */
    public ObjectNode stats() {
        ObjectNode stats = Exchange.JSON.createObjectNode();
        mAccounting.addTo(stats);
        mTable.addTo(stats);
        mObjects.addTo(stats);
        mWeights.addTo(stats);
        stats.putObject("held_cache_tokens");
        stats.putObject("engines");
        mEngines.values().forEach(engine -> engine.addTo(stats));
        return stats;
    }

    /** Returns one counter of the statistics. */
    public long stat(String name) {
        return stats().path(name).asLong();
    }

    /** Returns the recorded effects at plain services. */
    public ObjectNode effects() {
        return mAccounting.effects();
    }

    /** Returns arrivals at targets whose number is greater than {@code since}. */
    public ObjectNode arrivals(long since) {
        return mAccounting.arrivals(since);
    }

    // ---- Faults ----

    /**
     * Activates a fault.
     *
     * @param part table, objects, vmlist, weights or the identity of a target
     * @param fault the fault
     * @param value its value, see {@link Fault}
     * @param count number of requests it applies to; 0 for no limit
     */
    public void setFault(String part, Fault fault, double value, long count) {
        FaultSwitches faults = mFaults.get(part);
        if (faults == null) {
            throw new IllegalArgumentException(
                    "unknown part " + part + ", expected one of " + mFaults.keySet());
        }
        faults.set(fault, value, count);
    }

    /**
     * Deactivates all faults of a part.
     *
     * @param part the part; empty for all parts
     */
    public void clearFaults(String part) {
        mFaults.forEach(
                (name, faults) -> {
                    if (part.isEmpty() || part.equals(name)) {
                        faults.clear();
                    }
                });
    }

    /**
     * Sets the state of a VM in the VM list, like {@code PUT /vms} at the control port.
     *
     * @param vm identity of the VM
     * @param incarnation its incarnation
     * @param zone its zone
     * @param state live, leaving or gone
     */
    public void setVm(String vm, long incarnation, String zone, String state) {
        mVmList.set(vm, incarnation, zone, state);
    }

    /**
     * Lists a removed VM again with its last incarnation, like {@code POST /vms/relist} at the
     * control port.
     *
     * @param vm identity of the VM
     * @throws IllegalArgumentException if the VM was never removed
     */
    public void relistVm(String vm) {
        mVmList.relist(vm);
    }

    /**
     * Opens a proxy.
     *
     * @param name name of the proxy
     * @param listenPort port to listen on; 0 for any free port
     * @param targetPort port to connect to
     * @return the proxy; {@link #close()} closes it
     */
    public FaultProxy openProxy(String name, int listenPort, int targetPort) {
        FaultProxy proxy = new FaultProxy(mLoops, listenPort, targetPort, mTicker, nextRandom());
        synchronized (mProxies) {
            mProxies.put(name, proxy);
        }
        return proxy;
    }

    /** Returns the faults and byte counts of all proxies by name. */
    ObjectNode proxies() {
        ObjectNode json = Exchange.JSON.createObjectNode();
        synchronized (mProxies) {
            mProxies.forEach(
                    (name, proxy) -> {
                        ObjectNode shown = Exchange.JSON.valueToTree(proxy.faults());
                        shown.put("bytes_to_target", proxy.bytesToTarget());
                        shown.put("bytes_to_client", proxy.bytesToClient());
                        json.set(name, shown);
                    });
        }
        return json;
    }

    /** Updates the faults of a proxy from the fields that a JSON object contains. */
    void setProxy(String name, JsonNode json) {
        FaultProxy proxy;
        synchronized (mProxies) {
            proxy = mProxies.get(name);
        }
        if (proxy == null) {
            throw new IllegalArgumentException("unknown proxy " + name);
        }
        proxy.setFaults(proxy.faults().withJson(json));
    }

    @Override
    public void close() {
        synchronized (mProxies) {
            mProxies.values().forEach(FaultProxy::close);
        }
        mControl.close();
        new ArrayList<>(mPorts.values()).forEach(HttpPort::close);
        mControlThread.shutdown();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private ThroughputLimit createReadLimit() {
        return new ThroughputLimit(mTicker, mSettings.storeReadsPerSecond());
    }

    private ThroughputLimit createWriteLimit() {
        return new ThroughputLimit(mTicker, mSettings.storeWritesPerSecond());
    }

    private void openEngine(EngineFleet fleet, String id, StandInSettings.EnginePort engine) {
        EngineStandIn standIn =
                new EngineStandIn(
                        id,
                        (EventLoop) mLoops.next(),
                        mTicker,
                        faultsOf(id),
                        mSettings.engine(),
                        fleet,
                        engine.checksFence());
        standIn.start();
        mEngines.put(id, standIn);
        openPort(id, engine.port(), standIn);
    }

    private void openPort(String part, int port, HttpPort.Handler handler) {
        mPorts.put(part, new HttpPort(mLoops, port, faultsOf(part), handler));
    }

    private FaultSwitches faultsOf(String part) {
        return mFaults.computeIfAbsent(part, p -> new FaultSwitches(mTicker, nextRandom()));
    }

    private RandomGenerator nextRandom() {
        mNextSeed++;
        return mRandoms.create(mNextSeed);
    }
}
