package org.heathercourse.gateway.history;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.heathercourse.core.history.History;
import org.junit.jupiter.api.Test;

/**
 * Guards against rows that stay in the store for ever, and against the removal of rows that turns
 * still need.
 */
class HistorySweeperTest {
    private static final long PAST_LIFETIME_MILLIS = 5 * HistoryGateways.RETENTION_MILLIS;
    private static final List<String> TABLES =
            List.of(TurnKeys.TURN_TABLE, TurnKeys.CONTINUATION_TABLE, TurnKeys.EXPIRY_TABLE);

    private final HistoryGateways mGateways = new HistoryGateways();
    private final FaultyTurnStore mStore = mGateways.mStore;
    private final StoreTurnHistory mGateway = mGateways.create();

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private int rowCount() {
        return TABLES.stream().mapToInt(table -> mStore.rows(table).size()).sum();
    }

    private void assertEmptyAfterTwoPeriods() {
        mGateways.advance(PAST_LIFETIME_MILLIS + 2 * HistorySweeper.PERIOD_MILLIS);
        assertThat(rowCount()).isZero();
    }

    @Test
    void removesTurnsAndTheirEntries() {
        mGateways.startSweeper();
        for (int i = 0; i < 300; i++) {
            mGateways.turn(mGateway, "t" + i, null, bytes(10));
        }
        mGateways.advance(HistoryGateways.RETENTION_MILLIS);
        assertThat(mStore.rows(TurnKeys.TURN_TABLE)).hasSize(300);
        assertEmptyAfterTwoPeriods();
    }

    /** A page has 500 entries at most; the others must not wait for later visits. */
    @Test
    void removesMoreTurnsThanOnePageHas() {
        List<String> ids = new ArrayList<>();
        for (int i = 0; ids.size() < 1_100; i++) {
            if (TurnKeys.part(TurnKeys.turn("w", "t" + i)).equals("5")) {
                ids.add("t" + i);
            }
        }
        ids.forEach(id -> mGateways.turn(mGateway, id, null, bytes(10)));
        mGateways.advance(PAST_LIFETIME_MILLIS);
        mGateways.startSweeper();
        mGateways.advance(HistorySweeper.PERIOD_MILLIS);
        assertThat(rowCount()).isZero();
    }

    @Test
    void removesContinuations() {
        mGateways.startSweeper();
        mGateways.turn(mGateway, "t1", null, bytes(2_000_000));
        assertThat(mStore.rows(TurnKeys.CONTINUATION_TABLE)).hasSizeGreaterThan(30);
        assertEmptyAfterTwoPeriods();
    }

    /** The gateway died, or gave up, between the transactions of a large turn. */
    @Test
    void removesContinuationsWithoutTurn() {
        mGateways.startSweeper();
        mStore.mDelayedNext = Integer.MAX_VALUE;
        mGateways.await(
                mGateway.append("w", "t1", null, bytes(2_000_000), new byte[0], 60_000, 1_000));
        mStore.mDelayedNext = 0;
        mStore.executeDelayedWrites();
        assertThat(mStore.rows(TurnKeys.CONTINUATION_TABLE)).isNotEmpty();
        assertThat(mStore.rows(TurnKeys.TURN_TABLE)).isEmpty();
        assertEmptyAfterTwoPeriods();
    }

    /** Guards against a chain whose first part is removed while its later turns are continued. */
    @Test
    void keepsBasesOfLaterTurns() {
        mGateways.startSweeper();
        mGateways.turn(mGateway, "t1", null, bytes(200_000));
        mGateways.turn(mGateway, "t2", "t1", bytes(30_000));
        for (int i = 3; i < 40; i++) {
            mGateways.advance(HistoryGateways.RETENTION_MILLIS / 2);
            mGateways.turn(mGateways.create(), "t" + i, "t" + (i - 1), bytes(100));
        }
        mGateways.advance(HistoryGateways.RETENTION_MILLIS);
        assertThat(mGateways.read(mGateways.create(), "t39").orElseThrow().sizeBytes())
                .isEqualTo(200_000 + 30_000 + 37 * 100);
        assertEmptyAfterTwoPeriods();
    }

    /** The sweeper has read the old entry when a turn extends the lifetime of its base. */
    @Test
    void keepsBaseThatIsExtendedBeforeItsRemoval() {
        mGateways.turn(mGateway, "t1", null, bytes(50_000));
        History parent = mGateways.read(mGateway, "t1").orElseThrow();
        mGateways.advance(PAST_LIFETIME_MILLIS);
        mGateways.startSweeper();
        mStore.mBeforeCommit =
                () ->
                        assertThat(
                                        mGateway.append(
                                                "w",
                                                "t2",
                                                parent,
                                                bytes(10_000),
                                                bytes(1),
                                                60_000,
                                                1_000))
                                .isCompleted();
        mGateways.advance(HistorySweeper.PERIOD_MILLIS);
        assertThat(mStore.mBeforeCommit).as("the sweeper tried to remove").isNull();
        assertThat(mGateways.read(mGateways.create(), "t2")).isPresent();
        assertEmptyAfterTwoPeriods();
    }

    /** Guards against an extension whose reply is lost, which leaves two entries or none. */
    @Test
    void extensionWithLostReplyCountsOnce() {
        mGateways.startSweeper();
        mGateways.turn(mGateway, "t1", null, bytes(50_000));
        mGateways.advance(3 * HistoryGateways.RETENTION_MILLIS + 10_000);
        mStore.mLostReplies = 2;
        mGateways.turn(mGateway, "t2", "t1", bytes(10_000));
        assertThat(mStore.rows(TurnKeys.EXPIRY_TABLE)).hasSize(2);
        mGateways.advance(HistoryGateways.RETENTION_MILLIS + 25_000);
        assertThat(mGateways.read(mGateways.create(), "t2")).isPresent();
        assertEmptyAfterTwoPeriods();
    }

    /** Guards against 503 for ever where the bases of an expired turn are gone. */
    @Test
    void turnWithoutBasesIsAbsentAfterItsRetention() {
        mGateways.startSweeper();
        mGateways.turn(mGateway, "t1", null, bytes(50_000));
        // Without an extension: t1 is kept until 270 s, t2 can be continued until 240 s.
        mGateways.advance(150_000);
        mGateways.turn(mGateway, "t2", "t1", bytes(10_000));
        mGateways.advance(85_000);
        assertThat(mGateways.read(mGateways.create(), "t2")).isPresent();
        mGateways.advance(110_000);
        assertThat(mGateways.read(mGateways.create(), "t1")).isEmpty();
        assertThat(mStore.rows(TurnKeys.TURN_TABLE)).hasSize(1);
        assertThat(mGateways.read(mGateways.create(), "t2")).isEmpty();
    }

    @Test
    void goesOnAfterOutage() {
        mGateways.startSweeper();
        mGateways.turn(mGateway, "t1", null, bytes(200_000));
        mStore.mDown = true;
        mGateways.advance(PAST_LIFETIME_MILLIS);
        mStore.mDown = false;
        mGateways.advance(2 * HistorySweeper.PERIOD_MILLIS);
        assertThat(rowCount()).isZero();
    }

    /** Guards against parts that nobody visits, and against work that all gateways repeat. */
    @Test
    void eachPartHasOneMember() {
        Set<String> members = Set.of("g1", "g2", "g3");
        mGateways.turn(mGateway, "t1", null, bytes(10));
        for (int i = 0; i < 200; i++) {
            mGateways.turn(mGateway, "u" + i, null, bytes(10));
        }
        mGateways.advance(PAST_LIFETIME_MILLIS);
        Set<Integer> removedCounts = new HashSet<>();
        for (String member : members) {
            MetricRegistry registry = new MetricRegistry();
            HistorySweeper sweeper =
                    new HistorySweeper(
                            mStore,
                            mGateways.mExecutor,
                            mGateways.mTime.wallClock(),
                            new HistoryMetrics(registry),
                            member,
                            () -> members,
                            () -> true);
            sweeper.start();
            mGateways.advance(HistorySweeper.PERIOD_MILLIS);
            sweeper.close();
            removedCounts.add((int) registry.meter("history_rows_removed").getCount());
        }
        assertThat(rowCount()).isZero();
        assertThat(removedCounts).as("each member has some parts").doesNotContain(0, 201);
    }

    @Test
    void removesNothingWhenDisabledOrClosed() {
        mGateways.turn(mGateway, "t1", null, bytes(10));
        HistoryMetrics metrics = new HistoryMetrics(new MetricRegistry());
        new HistorySweeper(
                        mStore,
                        mGateways.mExecutor,
                        mGateways.mTime.wallClock(),
                        metrics,
                        "g1",
                        () -> Set.of("g1"),
                        () -> false)
                .start();
        mGateways.advance(PAST_LIFETIME_MILLIS + HistorySweeper.PERIOD_MILLIS);
        assertThat(rowCount()).isEqualTo(2);
    }
}
