package org.heathercourse.testing.memory;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.platform.ObjectStore;

/** An object store in memory with failures. Safe for use by several threads. */
public final class MemoryObjectStore {
    private final NavigableMap<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final StoreFaults mFaults;
    private final AtomicLong mPuts = new AtomicLong();
    private final AtomicLong mPutBytes = new AtomicLong();

    /** Creates an empty store. */
    public MemoryObjectStore(StoreFaults faults) {
        mFaults = faults;
    }

    /** Returns the number of objects stored so far. */
    public long putCount() {
        return mPuts.get();
    }

    /** Returns the bytes of the objects stored so far. */
    public long putBytes() {
        return mPutBytes.get();
    }

    /** Returns the number of objects whose name has a prefix. */
    public int count(String prefix) {
        return mObjects.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Returns the store as a caller sees it. */
    public ObjectStore viewFor(String caller) {
        return new ObjectStore() {
            @Override
            public void put(String name, byte[] content) {
                mPuts.incrementAndGet();
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
