package org.heathercourse.testing.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stand-ins that a process hosts, and their settings. Port 0 selects any free port. Immutable.
 *
 * @param tablePort port of the table service
 * @param objectPort port of the object store
 * @param vmListPort port of the VM list
 * @param weightPort port of the weight store
 * @param controlPort port of the control interface
 * @param engines engines by identity
 * @param plain ports of plain services by identity
 * @param proxies proxies by name
 * @param engine settings of all engines
 * @param vmListLagMillis lag of the VM list, in milliseconds
 * @param storeReadsPerSecond maximum read rate of the table and of the object store, each; 0 for no
 *     limit
 * @param storeWritesPerSecond maximum write rate of the table and of the object store, each; 0 for
 *     no limit
 * @param weightBytesPerSecond bandwidth of the weight store, in bytes per second
 * @param modelBytes size of each model, in bytes
 * @param seed seed of all random faults
 * @param threads number of event loops
 */
public record StandInSettings(
        int tablePort,
        int objectPort,
        int vmListPort,
        int weightPort,
        int controlPort,
        Map<String, EnginePort> engines,
        Map<String, Integer> plain,
        Map<String, ProxyPorts> proxies,
        EngineSettings engine,
        long vmListLagMillis,
        double storeReadsPerSecond,
        double storeWritesPerSecond,
        long weightBytesPerSecond,
        long modelBytes,
        long seed,
        int threads) {
    /**
     * Port of an engine.
     *
     * @param port the port
     * @param checksFence whether the engine rejects orders with a stale fencing number
     */
    public record EnginePort(int port, boolean checksFence) {}

    /**
     * Ports of a proxy.
     *
     * @param listenPort port to listen on
     * @param targetPort port to connect to
     */
    public record ProxyPorts(int listenPort, int targetPort) {}

    /** Returns a builder without targets and with port 0 for all stores. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings. Not thread-safe. */
    public static final class Builder {
        private int mTablePort;
        private int mObjectPort;
        private int mVmListPort;
        private int mWeightPort;
        private int mControlPort;
        private final Map<String, EnginePort> mEngines = new LinkedHashMap<>();
        private final Map<String, Integer> mPlain = new LinkedHashMap<>();
        private final Map<String, ProxyPorts> mProxies = new LinkedHashMap<>();
        private EngineSettings mEngine = EngineSettings.DEFAULT;
        private long mVmListLagMillis = 200;
        private double mStoreReadsPerSecond;
        private double mStoreWritesPerSecond;
        private long mWeightBytesPerSecond = 100_000_000;
        private long mModelBytes = 10_000_000;
        private long mSeed = 1;
        private int mThreads = 3;

        private Builder() {}

        /** Sets the ports of the stores and of the control interface. */
        public Builder ports(int table, int objects, int vmList, int weights, int control) {
            mTablePort = table;
            mObjectPort = objects;
            mVmListPort = vmList;
            mWeightPort = weights;
            mControlPort = control;
            return this;
        }

        /** Adds an engine. */
        public Builder engine(String id, int port, boolean checksFence) {
            mEngines.put(id, new EnginePort(port, checksFence));
            return this;
        }

        /** Adds a plain service. */
        public Builder plain(String id, int port) {
            mPlain.put(id, port);
            return this;
        }

        /** Adds a proxy. */
        public Builder proxy(String name, int listenPort, int targetPort) {
            mProxies.put(name, new ProxyPorts(listenPort, targetPort));
            return this;
        }

        /** Sets the settings of all engines. */
        public Builder engineSettings(EngineSettings settings) {
            mEngine = settings;
            return this;
        }

        /** Sets the lag of the VM list, in milliseconds. */
        public Builder vmListLagMillis(long millis) {
            mVmListLagMillis = millis;
            return this;
        }

        /** Sets the reads and writes in a second of the table and the object store each. */
        public Builder storeCapacity(double readsPerSecond, double writesPerSecond) {
            mStoreReadsPerSecond = readsPerSecond;
            mStoreWritesPerSecond = writesPerSecond;
            return this;
        }

        /** Sets the bandwidth of the weight store and the size of each model. */
        public Builder weights(long bytesPerSecond, long modelBytes) {
            mWeightBytesPerSecond = bytesPerSecond;
            mModelBytes = modelBytes;
            return this;
        }

        /** Sets the seed of all random faults. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Sets the number of event loops. */
        public Builder threads(int threads) {
            mThreads = threads;
            return this;
        }

        /** Creates the settings. */
        public StandInSettings build() {
            return new StandInSettings(
                    mTablePort,
                    mObjectPort,
                    mVmListPort,
                    mWeightPort,
                    mControlPort,
                    new LinkedHashMap<>(mEngines),
                    new LinkedHashMap<>(mPlain),
                    new LinkedHashMap<>(mProxies),
                    mEngine,
                    mVmListLagMillis,
                    mStoreReadsPerSecond,
                    mStoreWritesPerSecond,
                    mWeightBytesPerSecond,
                    mModelBytes,
                    mSeed,
                    mThreads);
        }
    }
}
