package org.heathercourse.platform;

/**
 * The platform's store of model weights. Engines fetch weights from it when they are ordered to
 * load a model; all engines share its bandwidth.
 *
 * <p>Calls block. Implementations are safe for use by several threads.
 */
public interface WeightStore {
    /**
     * State of the store.
     *
     * @param bytesPerSecond bandwidth shared by all fetches, in bytes per second
     * @param activeFetches number of fetches in progress
     */
    record Status(long bytesPerSecond, int activeFetches) {}

    /**
     * Reads the state of the store.
     *
     * @return the state
     * @throws StoreException if the service does not answer
     */
    Status status();
}
