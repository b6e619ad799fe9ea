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
 * The programs of one shard: the fold of its log.
 *
 * <p>An ended program is kept for {@link #RETENTION_MILLIS} so that its answers can be read again,
 * and longer if it still owes a cache release. The log carries no times, so a program found ended
 * when a log is loaded counts as ended at that moment.
 *
 * <p>Reads are safe for use by several threads; changes need external locking.
 */
public final class ShardState implements LogCodec.Visitor {
    /** Time for which ended programs are kept, in milliseconds. */
    public static final long RETENTION_MILLIS = 600_000;

    /** Most ended programs kept; beyond it the oldest without a debt go early. */
    public static final int RETENTION_COUNT = 20_000;

    private final Map<ProgramId, ProgramState> mPrograms = new ConcurrentHashMap<>();
    private final Map<ProgramId, Long> mEndedMillis = new LinkedHashMap<>();
    private long mNowMillis;

    /**
     * Creates an empty state.
     *
     * @param nowMillis present ticker time in milliseconds
     */
    public ShardState(long nowMillis) {
        mNowMillis = nowMillis;
    }

    /** Returns the state of a program. */
    public Optional<ProgramState> find(ProgramId program) {
        return Optional.ofNullable(mPrograms.get(program));
    }

    /** Returns all programs. */
    public Collection<ProgramState> programs() {
        return List.copyOf(mPrograms.values());
    }

    /**
     * Applies the records of one append; readers see all of them or none.
     *
     * @param records the records; those of unknown programs have no effect
     * @param nowMillis present ticker time in milliseconds
     * @return the state of the program of the last record; empty if it is not known
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
     * @param nowMillis present ticker time in milliseconds
     * @return the programs removed
     */
    public List<ProgramId> expire(long nowMillis) {
        List<ProgramId> removed = new ArrayList<>();
        int excess = mEndedMillis.size() - RETENTION_COUNT;
        Iterator<Map.Entry<ProgramId, Long>> all = mEndedMillis.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<ProgramId, Long> entry = all.next();
            boolean due = nowMillis - entry.getValue() >= RETENTION_MILLIS;
            if (!due && removed.size() >= excess) {
                break;
            }
            ProgramState state = mPrograms.get(entry.getKey());
            if (state == null || state.cacheTargets().isEmpty()) {
                all.remove();
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

    /** Returns whether a takeover would change a program. */
    public boolean changedByTakeover() {
        return mPrograms.values().stream().anyMatch(ProgramState::changedByTakeover);
    }

    /** Returns whether a program has an intent without an outcome. */
    public boolean hasIntent() {
        return mPrograms.values().stream().anyMatch(ProgramState::hasIntent);
    }

    /** Removes a program. */
    public void remove(ProgramId program) {
        mPrograms.remove(program);
        mEndedMillis.remove(program);
    }
}
