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
 * All stand-ins of a process: stores, VM list, weights, engines, plain services, proxies and the
 * control port. Started by its factory method and ended by {@link #close()}. Safe for use by
 * several threads.
 */
public final class StandIns implements AutoCloseable {
    /** Parts that faults can be set on, besides the identities of targets. */
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
        mTable = new TableStandIn(readCapacity(), writeCapacity());
        mObjects = new ObjectStandIn(readCapacity(), writeCapacity());
        mWeights =
                new WeightStandIn(ticker, settings.weightBytesPerSecond(), settings.modelBytes());
        mVmList = new VmListStandIn(ticker, faultsOf("vmlist"), settings.vmListLagMillis());
        open("table", settings.tablePort(), mTable);
        open("objects", settings.objectPort(), mObjects);
        open("vmlist", settings.vmListPort(), mVmList);
        open("weights", settings.weightPort(), mWeights);
        EngineFleet fleet = new EngineFleet(mAccounting, mWeights);
        settings.engines().forEach((id, engine) -> openEngine(fleet, id, engine));
        settings.plain()
                .forEach((id, port) -> open(id, port, new PlainStandIn(id, mLoops, mAccounting)));
        settings.proxies().forEach((name, p) -> openProxy(name, p.listenPort(), p.targetPort()));
        mControl =
                new HttpPort(
                        mLoops,
                        settings.controlPort(),
                        new FaultSwitches(ticker, nextRandom()),
                        new ControlPort(this, mControlThread));
    }

    /**
     * Starts stand-ins on the ticker of the Java runtime.
     *
     * @param settings what to host
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
                    "no part " + part + ", there are " + mPorts.keySet());
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

    /** Returns the effects at plain services. */
    public ObjectNode effects() {
        return mAccounting.effects();
    }

    /** Returns arrivals at targets with numbers above the given one. */
    public ObjectNode arrivals(long since) {
        return mAccounting.arrivals(since);
    }

    // ---- Faults ----

    /**
     * Switches a fault on.
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
                    "no part " + part + ", there are " + mFaults.keySet());
        }
        faults.set(fault, value, count);
    }

    /**
     * Switches all faults of a part off.
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
     * Sets the state of a VM in the VM list. Over the control port: {@code PUT /vms}.
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
     * Lists a VM that is gone again, with the incarnation that it had. Over the control port:
     * {@code POST /vms/relist}.
     *
     * @param vm identity of the VM
     * @throws IllegalArgumentException if the VM was never gone
     */
    public void relistVm(String vm) {
        mVmList.relist(vm);
    }

    /**
     * Opens a proxy.
     *
     * @param name name of the proxy
     * @param listenPort port to listen on; 0 for any free one
     * @param targetPort port to connect to
     * @return the proxy, which is closed with the stand-ins
     */
    public FaultProxy openProxy(String name, int listenPort, int targetPort) {
        FaultProxy proxy = new FaultProxy(mLoops, listenPort, targetPort, mTicker, nextRandom());
        synchronized (mProxies) {
            mProxies.put(name, proxy);
        }
        return proxy;
    }

    /** Returns the faults of all proxies by name. */
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

    /** Changes the faults of a proxy as a JSON object says. */
    void setProxy(String name, JsonNode json) {
        FaultProxy proxy;
        synchronized (mProxies) {
            proxy = mProxies.get(name);
        }
        if (proxy == null) {
            throw new IllegalArgumentException("no proxy " + name);
        }
        proxy.faults(proxy.faults().with(json));
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

    private Capacity readCapacity() {
        return new Capacity(mTicker, mSettings.storeReadsPerSecond());
    }

    private Capacity writeCapacity() {
        return new Capacity(mTicker, mSettings.storeWritesPerSecond());
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
        open(id, engine.port(), standIn);
    }

    private void open(String part, int port, HttpPort.Handler handler) {
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
