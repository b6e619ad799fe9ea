package org.heathercourse.core.program;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.heathercourse.core.model.ProgramId;

/**
 * The programs of one shard, as given by replaying its log.
 *
 * <p>An ended program is kept for {@link #RETENTION_MILLIS} so that its answers can be read again,
 * and longer if a target still has to release a cache for it. The log contains no times, so a
 * program that has ended when a log is loaded counts as ended at the time of loading.
 *
 * <p>Reads are safe for use by several threads; changes need external locking.
 */
public final class ShardState implements LogCodec.Visitor {
    /** Time in milliseconds for which ended programs are kept. */
    public static final long RETENTION_MILLIS = 600_000;

    /**
     * Maximum number of ended programs kept. Beyond it the oldest ones without a pending cache
     * release are removed early.
     */
    public static final int RETENTION_COUNT = 20_000;

    private final Map<ProgramId, ProgramState> mPrograms = new ConcurrentHashMap<>();
    private final Map<ProgramId, Long> mEndedMillis = new LinkedHashMap<>();
    private long mNowMillis;

    /**
     * Creates an empty state.
     *
     * @param nowMillis current ticker time in milliseconds
     */
    public ShardState(long nowMillis) {
        mNowMillis = nowMillis;
    }

    /** Returns the state of a program. */
    public Optional<ProgramState> find(ProgramId program) {
        return Optional.ofNullable(mPrograms.get(program));
    }

    /** Returns a copy of all programs. */
    public Collection<ProgramState> programs() {
        return List.copyOf(mPrograms.values());
    }

    /**
     * Applies the records of one append; readers see all of them or none.
     *
     * @param records the records; records of unknown programs have no effect
     * @param nowMillis current ticker time in milliseconds
     * @return the state of the program of the last record; empty if the program is unknown
     */
    public Optional<ProgramState> apply(List<LogRecord> records, long nowMillis) {
        mNowMillis = nowMillis;
        ProgramState state = null;
        for (LogRecord record : records) {
            if (state == null || !state.program().equals(record.program())) {
                publish(state);
                state = mPrograms.get(record.program());
            }
            if (state != null) {
                state = state.apply(record);
            } else if (record instanceof LogRecord.ProgramStarted started) {
                state = ProgramState.start(started);
            }
        }
        publish(state);
        return Optional.ofNullable(state);
    }

    private void publish(ProgramState state) {
        if (state != null) {
            put(state);
        }
    }

    /** Replaces the state of a program. */
    public void put(ProgramState state) {
        mPrograms.put(state.program(), state);
        if (state.ended()) {
            mEndedMillis.putIfAbsent(state.program(), mNowMillis);
        }
    }

    /**
     * Removes ended programs that need not be kept any longer.
     *
     * @param nowMillis current ticker time in milliseconds
     * @return the removed programs
     */
    public List<ProgramId> expire(long nowMillis) {
        List<ProgramId> removed = new ArrayList<>();
        int excess = mEndedMillis.size() - RETENTION_COUNT;
        Iterator<Map.Entry<ProgramId, Long>> entries = mEndedMillis.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ProgramId, Long> entry = entries.next();
            boolean expired = nowMillis - entry.getValue() >= RETENTION_MILLIS;
            if (!expired && removed.size() >= excess) {
                break;
            }
            ProgramState state = mPrograms.get(entry.getKey());
            if (state == null || state.cacheTargets().isEmpty()) {
                entries.remove();
                mPrograms.remove(entry.getKey());
                removed.add(entry.getKey());
            }
        }
        return removed;
    }

    @Override
    public void records(List<LogRecord> records) {
        apply(records, mNowMillis);
    }

    @Override
    public void takeover() {
        mPrograms.replaceAll((id, state) -> state.afterTakeover());
    }

    @Override
    public void release() {
        mPrograms.replaceAll((id, state) -> state.afterRelease());
    }

    @Override
    public void program(ProgramState state) {
        put(state);
    }

    /** Returns whether {@link #takeover()} would change a program. */
    public boolean changedByTakeover() {
        return mPrograms.values().stream().anyMatch(ProgramState::changedByTakeover);
    }

    /** Returns whether a program has an intent without a recorded outcome. */
    public boolean hasIntent() {
        return mPrograms.values().stream().anyMatch(ProgramState::hasIntent);
    }

    /** Removes a program. */
    public void remove(ProgramId program) {
        mPrograms.remove(program);
        mEndedMillis.remove(program);
    }
}
