package org.heathercourse.testing.memory;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.platform.ObjectStore;

/** An object store in memory with injectable failures. Thread-safe. */
public final class MemoryObjectStore {
    private final NavigableMap<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final StoreFaults mFaults;
    private final AtomicLong mPutCount = new AtomicLong();
    private final AtomicLong mPutBytes = new AtomicLong();

    /** Creates an empty store whose operations are subject to the given failures. */
    public MemoryObjectStore(StoreFaults faults) {
        mFaults = faults;
    }

    /** Returns the number of attempts to store an object, including failed ones. */
    public long putCount() {
        return mPutCount.get();
    }

    /** Returns the total size of all objects passed to {@code put}, in bytes. */
    public long putBytes() {
        return mPutBytes.get();
    }

    /** Returns the number of objects whose names start with a prefix. */
    public int count(String prefix) {
        return mObjects.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Returns a view of the store that is subject to the failures of one caller. */
    public ObjectStore viewFor(String caller) {
        return new ObjectStore() {
            @Override
            public void put(String name, byte[] content) {
                mPutCount.incrementAndGet();
                mPutBytes.addAndGet(content.length);
                mFaults.beforeWrite(caller, name);
                mObjects.put(name, content.clone());
                mFaults.afterWrite(caller);
            }

            @Override
            public Optional<byte[]> get(String name) {
                mFaults.beforeRead(caller);
                return Optional.ofNullable(mObjects.get(name)).map(byte[]::clone);
            }

            @Override
            public void delete(String name) {
                mFaults.beforeWrite(caller, name);
                mObjects.remove(name);
                mFaults.afterWrite(caller);
            }

            @Override
            public List<String> list(String prefix) {
                mFaults.beforeRead(caller);
                return List.copyOf(mObjects.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
            }
        };
    }
}
