package org.heathercourse.daemon.state;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.TableStore;

/** Builder of a {@link StateEngine}. Not thread-safe. */
public final class StateEngineBuilder {
    private final StateSettings mSettings;
    private TableStore mTable;
    private ObjectStore mObjects;
    private Ticker mTicker = Ticker.system();
    private RandomGenerator mRandom;
    private StateExecutors mExecutors;
    private OutageDetector mOutageDetector = OutageDetector.NONE;
    private Supplier<PeerNetwork> mPeers;
    private HandoverListener mHandoverListener = HandoverListener.NONE;

    StateEngineBuilder(StateSettings settings) {
        mSettings = settings;
    }

    /** Sets the store. */
    public StateEngineBuilder store(TableStore table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
        return this;
    }

    /** Sets the time source; the default is the clock of the Java runtime. */
    public StateEngineBuilder ticker(Ticker ticker) {
        mTicker = ticker;
        return this;
    }

    /** Sets the random source for the jitter of retries. */
    public StateEngineBuilder random(RandomGenerator random) {
        mRandom = random;
        return this;
    }

    /** Sets the executors; without them the loops run only through the step methods for tests. */
    public StateEngineBuilder executors(StateExecutors executors) {
        mExecutors = executors;
        return this;
    }

    /** Sets the outage detector; by default no outage is ever confirmed. */
    public StateEngineBuilder outageDetector(OutageDetector outageDetector) {
        mOutageDetector = outageDetector;
        return this;
    }

    /** Sets the network to other daemons; without it no records are replicated. */
    public StateEngineBuilder peers(Supplier<PeerNetwork> peers) {
        mPeers = peers;
        return this;
    }

    /** Sets the callback for released shards; the default does nothing. */
    public StateEngineBuilder handoverListener(HandoverListener handoverListener) {
        mHandoverListener = handoverListener;
        return this;
    }

    /**
     * Creates the engine.
     *
     * @throws HeathercourseException of kind INVALID_SETTING if the store or the random source is
     *     missing
     */
    public StateEngine build() {
        if (mTable == null || mObjects == null || mRandom == null) {
            throw new HeathercourseException(
                    ErrorKind.INVALID_SETTING,
                    "store or random source is missing, expected both",
                    "set both on the builder");
        }
        if (mExecutors == null) {
            return new StateEngine(this, mTable, mObjects);
        }
        StoreTimeouts timeouts = new StoreTimeouts(mExecutors.storeCalls());
        return new StateEngine(
                this,
                timeouts.table(mTable, mSettings.storeTimeoutMillis()),
                timeouts.objects(mObjects, mSettings.objectTimeoutMillis()));
    }

    StateSettings settings() {
        return mSettings;
    }

    Ticker ticker() {
        return mTicker;
    }

    RandomGenerator random() {
        return mRandom;
    }

    StateExecutors executors() {
        return mExecutors;
    }

    OutageDetector outageDetector() {
        return mOutageDetector;
    }

    Supplier<PeerNetwork> peers() {
        return mPeers;
    }

    HandoverListener handoverListener() {
        return mHandoverListener;
    }
}
