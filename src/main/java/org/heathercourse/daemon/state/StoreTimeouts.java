package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * Wraps stores so that each call has a timeout. A call that times out has an unknown outcome, since
 * it may still take effect. Thread-safe.
 */
final class StoreTimeouts {
    private final ExecutorService mExecutor;

    StoreTimeouts(ExecutorService executor) {
        mExecutor = executor;
    }

    TableStore table(TableStore store, long millis) {
        return new TableStore() {
            @Override
            public Optional<Row> read(String key) {
                return call(() -> store.read(key), millis);
            }

            @Override
            public List<Row> scan(String prefix, String afterKey, int limit) {
                return call(() -> store.scan(prefix, afterKey, limit), millis);
            }

            @Override
            public CommitResult commit(Transaction transaction) {
                return call(() -> store.commit(transaction), millis);
            }
        };
    }

    ObjectStore objects(ObjectStore store, long millis) {
        return new ObjectStore() {
            @Override
            public void put(String name, byte[] content) {
                call(
                        () -> {
                            store.put(name, content);
                            return true;
                        },
                        millis);
            }

            @Override
            public Optional<byte[]> get(String name) {
                return call(() -> store.get(name), millis);
            }

            @Override
            public void delete(String name) {
                call(
                        () -> {
                            store.delete(name);
                            return true;
                        },
                        millis);
            }

            @Override
            public List<String> list(String prefix) {
                return call(() -> store.list(prefix), millis);
            }
        };
    }

    private <T> T call(Callable<T> call, long millis) {
        Future<T> future;
        try {
            future = mExecutor.submit(call);
        } catch (RejectedExecutionException e) {
            throw StoreException.unavailable("the engine is stopping", e);
        }
        try {
            return future.get(millis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            future.cancel(true);
            throw StoreException.outcomeUnknown("no reply within " + millis + " ms", e);
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            throw StoreException.outcomeUnknown("interrupted while waiting for a reply", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw StoreException.outcomeUnknown("call failed", e.getCause());
        }
    }
}
