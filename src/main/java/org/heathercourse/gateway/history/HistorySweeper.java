package org.heathercourse.gateway.history;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.history.TurnRowCodec;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Removes the rows of turns whose retention has passed.
 *
 * <p>One gateway visits each part, chosen by rendezvous hashing over the live members. It removes a
 * row together with its expiry entry, on the condition that the entry still has its version; an
 * extension of the lifetime replaces the entry. Two gateways that visit the same part, because
 * their views of the members differ, do no harm. Confined to the control thread.
 */
public final class HistorySweeper implements AutoCloseable {
    /**
     * Time in milliseconds in which each part is visited once. A visit reads a whole page of
     * entries, of which most have not expired, so that shorter periods cost mostly unused bytes.
     */
    static final long PERIOD_MILLIS = 60_000;

    /** Maximum number of turns that one transaction of at most 100 entries removes. */
    private static final int MAX_REMOVALS = 48;

    /** Prefix of the keys under which parts are assigned to members. */
    private static final String PART_PREFIX = "turn_expiry/";

    private static final EventLog LOG = EventLog.of(HistorySweeper.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final Clock mWallClock;
    private final HistoryMetrics mMetrics;
    private final String mSelf;
    private final Supplier<? extends Collection<String>> mMembers;
    private final BooleanSupplier mIsEnabled;
    private int mNextPart;
    private volatile boolean mClosed;

    /**
     * Creates a sweeper that has not started.
     *
     * @param store the store
     * @param control the control thread
     * @param wallClock clock of the ends of retentions
     * @param metrics metrics of histories
     * @param self name of this gateway among the members
     * @param members returns the names of the live members, including this gateway
     * @param isEnabled returns whether some route retains histories now
     */
    public HistorySweeper(
            RowStore store,
            ScheduledExecutorService control,
            Clock wallClock,
            HistoryMetrics metrics,
            String self,
            Supplier<? extends Collection<String>> members,
            BooleanSupplier isEnabled) {
        mStore = store;
        mControl = control;
        mWallClock = wallClock;
        mMetrics = metrics;
        mSelf = self;
        mMembers = members;
        mIsEnabled = isEnabled;
    }

    /** Starts the periodic visits. */
    public void start() {
        mControl.schedule(
                this::visitNextPart, PERIOD_MILLIS / TurnKeys.PARTS, TimeUnit.MILLISECONDS);
    }

    /** Stops the visits; a visit under way ends with its current page. */
    @Override
    public void close() {
        mClosed = true;
    }

    private void visitNextPart() {
        if (mClosed) {
            return;
        }
        start();
        String part = Integer.toString(mNextPart);
        mNextPart = (mNextPart + 1) % TurnKeys.PARTS;
        if (mIsEnabled.getAsBoolean() && isOwnPart(part)) {
            readPage(part, "");
        }
    }

    private boolean isOwnPart(String part) {
        return mMembers.get().stream()
                .max(Comparator.comparing(m -> Rendezvous.weight(PART_PREFIX + part, m)))
                .map(mSelf::equals)
                .orElse(false);
    }

    private void readPage(String part, String fromKey) {
        mStore.read(TurnKeys.EXPIRY_TABLE, part, fromKey)
                .whenCompleteAsync((page, error) -> onPage(part, page, error), mControl);
    }

    private void onPage(String part, RowPage page, Throwable error) {
        if (error != null) {
            // The next visit reads the part again; nothing depends on the time of a removal.
            LOG.info("history_expiry_not_read", "part", part, "reason", error.getMessage());
            return;
        }
        long nowMillis = mWallClock.millis();
        List<StoredRow> expired =
                page.rows().stream().filter(r -> TurnKeys.isExpired(r.key(), nowMillis)).toList();
        removeAll(part, expired);
        if (page.hasMore() && !mClosed && !expired.isEmpty()) {
            StoredRow last = page.rows().get(page.rows().size() - 1);
            if (TurnKeys.isExpired(last.key(), nowMillis)) {
                readPage(part, last.key().key() + '\0');
            }
        }
    }

    private void removeAll(String part, List<StoredRow> expired) {
        List<StoredRow> turns = new ArrayList<>();
        List<StoredRow> continuations = new ArrayList<>();
        for (StoredRow row : expired) {
            Optional<ExpiryEntry> entry = ExpiryEntry.decode(row.value());
            if (entry.isEmpty()) {
                LOG.warn("history_expiry_unreadable", "entry", row.key());
            } else {
                (entry.get().isOfTurn() ? turns : continuations).add(row);
            }
        }
        List<CompletableFuture<Void>> removals = new ArrayList<>();
        for (int from = 0; from < turns.size(); from += MAX_REMOVALS) {
            int to = Math.min(turns.size(), from + MAX_REMOVALS);
            removals.add(removeTurns(part, turns.subList(from, to)));
        }
        CompletableFuture.allOf(removals.toArray(new CompletableFuture<?>[0]))
                .thenRun(() -> continuations.forEach(this::visitContinuations));
    }

    private CompletableFuture<Void> removeTurns(String part, List<StoredRow> entries) {
        RowTransaction.Builder removal = RowTransaction.builder();
        for (StoredRow entry : entries) {
            String turnKey = ExpiryEntry.decode(entry.value()).orElseThrow().turnKey();
            removal.remove(entry.key(), entry.version());
            removal.remove(TurnKeys.turnRow(turnKey), RowTransaction.ANY_VERSION);
        }
        return mStore.commit(removal.build())
                .handleAsync(
                        (commit, error) -> {
                            recordRemoval(part, entries.size(), commit, error);
                            return null;
                        },
                        mControl);
    }

    /**
     * Removes continuations whose turn is gone. The lifetime of a turn can be extended without
     * regard to its continuations, so their entry follows that of the turn here.
     */
    private void visitContinuations(StoredRow entryRow) {
        ExpiryEntry entry = ExpiryEntry.decode(entryRow.value()).orElseThrow();
        mStore.read(TurnKeys.turnRow(entry.turnKey()))
                .thenCompose(turn -> mStore.commit(continuationChange(entryRow, entry, turn)))
                .whenCompleteAsync(
                        (commit, error) ->
                                recordRemoval(entryRow.key().part(), entry.count(), commit, error),
                        mControl);
    }

    private static RowTransaction continuationChange(
            StoredRow entryRow, ExpiryEntry entry, StoredRow turn) {
        RowTransaction.Builder change =
                RowTransaction.builder().remove(entryRow.key(), entryRow.version());
        if (turn.exists()) {
            TurnRowCodec.Header header =
                    TurnRowCodec.decodeHeader(turn.value())
                            .orElseThrow(() -> postponed(entryRow, "its turn cannot be decoded"));
            if (header.writer() == entry.writer()) {
                RowKey laterKey = TurnKeys.expiryRow(entry, header.retainedUntilMillis());
                if (laterKey.equals(entryRow.key())) {
                    throw postponed(entryRow, "its turn is not removed yet");
                }
                return change.put(laterKey, RowTransaction.ANY_VERSION, entry.encode()).build();
            }
        }
        for (int i = 0; i < entry.count(); i++) {
            change.remove(
                    TurnKeys.continuationRow(
                            entry.turnKey(), entry.writer(), entry.firstIndex() + i),
                    RowTransaction.ANY_VERSION);
        }
        return change.build();
    }

    private static StoreException postponed(StoredRow entryRow, String reason) {
        return StoreException.unavailable("entry " + entryRow.key() + ": " + reason, null);
    }

    private void recordRemoval(String part, int rows, RowCommit commit, Throwable error) {
        if (error != null) {
            // The next visit tries the removal again.
            LOG.info("history_rows_not_removed", "part", part, "reason", error.getMessage());
        } else if (!commit.committed()) {
            LOG.info("history_rows_not_removed", "part", part, "reason", "an entry was changed");
        } else {
            mMetrics.recordRowsRemoved(rows);
            LOG.info("history_rows_removed", "part", part, "rows", rows);
        }
    }
}
