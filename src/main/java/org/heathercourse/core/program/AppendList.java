package org.heathercourse.core.program;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.RandomAccess;

/**
 * An immutable list to which appending takes time proportional to the added items only.
 *
 * <p>Lists created by appending share one array. Only the longest of them extends it in place;
 * appending to the others copies the array. Safe for use by several threads.
 */
final class AppendList<E> extends AbstractList<E> implements RandomAccess {
    private static final int MIN_CAPACITY = 8;

    private final Storage mStorage;
    private final int mSize;

    /** The shared array and the number of its used items; guarded by its own lock. */
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
                addAll(mStorage, added);
                return new AppendList<>(mStorage, size);
            }
        }
        Storage storage = copy(mStorage.mItems, mSize, size);
        addAll(storage, added);
        return new AppendList<>(storage, size);
    }

    private static Storage copy(Object[] items, int size, int minCapacity) {
        int capacity = Math.max(MIN_CAPACITY, Math.max(minCapacity, size + size / 2));
        Object[] extended = Arrays.copyOf(Arrays.copyOf(items, size), capacity);
        return new Storage(extended, size);
    }

    private static void addAll(Storage storage, List<?> added) {
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
