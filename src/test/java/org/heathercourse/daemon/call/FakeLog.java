package org.heathercourse.daemon.call;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.daemon.state.ProgramLog;

/** In-memory program log whose store can hold back, complete or lose records. */
public final class FakeLog implements ProgramLog {
    /** What happens to appended records. */
    public enum Mode {
        DURABLE,
        HELD,
        LOST
    }

    private final Map<ProgramId, ProgramState> mStates = new LinkedHashMap<>();
    private final List<LogRecord> mRecords = new ArrayList<>();
    private final List<CompletableFuture<Void>> mUndurable = new ArrayList<>();
    public volatile Mode mode = Mode.DURABLE;
    public volatile boolean storeDown;
    public volatile boolean replicable = true;
    public final AtomicInteger replicationCount = new AtomicInteger();
    public volatile long pendingBytes;

    @Override
    public synchronized Optional<ProgramState> find(ProgramId program) {
        return Optional.ofNullable(mStates.get(program));
    }

    @Override
    public synchronized List<ProgramState> activePrograms() {
        return mStates.values().stream()
                .filter(s -> !s.ended() || !s.cacheTargets().isEmpty())
                .toList();
    }

    @Override
    public synchronized CompletableFuture<Void> append(ProgramId program, List<LogRecord> records) {
        if (mode == Mode.LOST) {
            return CompletableFuture.failedFuture(
                    new HeathercourseException(ErrorKind.OWNERSHIP_LOST, "lost", "none"));
        }
        for (LogRecord record : records) {
            mRecords.add(record);
            ProgramState state = mStates.get(program);
            if (state == null) {
                state = ProgramState.start((LogRecord.ProgramStarted) record);
            } else {
                state = state.apply(record);
            }
            mStates.put(program, state);
        }
        CompletableFuture<Void> durable = new CompletableFuture<>();
        if (mode == Mode.DURABLE) {
            durable.complete(null);
        } else {
            mUndurable.add(durable);
        }
        return durable;
    }

    /** Makes everything durable. */
    public synchronized void releaseStore() {
        mode = Mode.DURABLE;
        storeDown = false;
        mUndurable.forEach(f -> f.complete(null));
        mUndurable.clear();
    }

    /** Applies the changes that a new owner makes to the states after a takeover. */
    public synchronized void applyTakeover() {
        mStates.replaceAll((p, s) -> s.afterTakeover());
    }

    /** Returns all records in order. */
    public synchronized List<LogRecord> records() {
        return List.copyOf(mRecords);
    }

    /** Returns the records of a type in order. */
    public <T> List<T> records(Class<T> type) {
        return records().stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public CompletableFuture<Void> replicate(ProgramId program) {
        replicationCount.incrementAndGet();
        return replicable
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.failedFuture(
                        new HeathercourseException(
                                ErrorKind.STORE_UNAVAILABLE, "no peers", "none"));
    }

    @Override
    public boolean storeDown() {
        return storeDown;
    }

    @Override
    public long pendingBytes() {
        return pendingBytes;
    }
}
