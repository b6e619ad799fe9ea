package org.heathercourse.core.program;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.RandomAccess;

/**
 * An immutable list whose append costs only the added items.
 *
 * <p>Lists made by appending share one array; only the longest of them may extend it, others copy.
 * Safe for use by several threads.
 */
final class AppendList<E> extends AbstractList<E> implements RandomAccess {
    private static final int MIN_CAPACITY = 8;

    private final Storage mStorage;
    private final int mSize;

    private static final class Storage {
        private final Object[] mItems;
        private int mUsed;

        Storage(Object[] items, int used) {
            mItems = items;
            mUsed = used;
        }
    }

    private AppendList(Storage storage, int size) {
        mStorage = storage;
        mSize = size;
    }

    /** Returns a list of the items of {@code first} and then those of {@code added}. */
    static <E> List<E> concat(List<E> first, List<? extends E> added) {
        if (added.isEmpty()) {
            return first;
        }
        if (first instanceof AppendList<E> list) {
            return list.append(added);
        }
        Storage storage = copy(first.toArray(), first.size(), first.size() + added.size());
        return new AppendList<E>(storage, first.size()).append(added);
    }

    private AppendList<E> append(List<? extends E> added) {
        int size = mSize + added.size();
        synchronized (mStorage) {
            if (mStorage.mUsed == mSize && size <= mStorage.mItems.length) {
                put(mStorage, added);
                return new AppendList<>(mStorage, size);
            }
        }
        Storage storage = copy(mStorage.mItems, mSize, size);
        put(storage, added);
        return new AppendList<>(storage, size);
    }

    private static Storage copy(Object[] items, int size, int needed) {
        int capacity = Math.max(MIN_CAPACITY, Math.max(needed, size + size / 2));
        Object[] longer = Arrays.copyOf(Arrays.copyOf(items, size), capacity);
        return new Storage(longer, size);
    }

    private static void put(Storage storage, List<?> added) {
        for (Object item : added) {
            storage.mItems[storage.mUsed++] = item;
        }
    }

    @Override
    @SuppressWarnings("unchecked")
    public E get(int index) {
        return (E) mStorage.mItems[Objects.checkIndex(index, mSize)];
    }

    @Override
    public int size() {
        return mSize;
    }
}
