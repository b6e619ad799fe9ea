package org.heathercourse.platform;

/**
 * The platform's store of model weights. Engines fetch from it when they are ordered to load a
 * model; its bandwidth is shared by all of them.
 */
public interface WeightStore {
    /**
     * State of the store.
     *
     * @param bytesPerSecond bandwidth shared by all fetches
     * @param activeFetches fetches under way
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
