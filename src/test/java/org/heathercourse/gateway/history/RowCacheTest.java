package org.heathercourse.gateway.history;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.core.history.Lifetime;
import org.heathercourse.core.history.TurnRow;
import org.junit.jupiter.api.Test;

/** Guards against a cache that takes the memory of requests. */
class RowCacheTest {
    private final RowCache mCache = new RowCache();

    private static TurnRow row(int bytes) {
        return TurnRow.first(1, new Lifetime(1, 1), new byte[bytes]);
    }

    @Test
    void evictsLeastRecentlyUsedBeyondBound() {
        for (int i = 0; i < 500; i++) {
            mCache.put("k" + i, row(10_000));
            mCache.get("k0");
            assertThat(mCache.sizeBytes()).isLessThanOrEqualTo(RowCache.MAX_BYTES);
        }
        assertThat(mCache.get("k0")).isPresent();
        assertThat(mCache.get("k1")).isEmpty();
        assertThat(mCache.get("k499")).isPresent();
    }

    @Test
    void replacedRowCountsOnce() {
        for (int i = 0; i < 500; i++) {
            mCache.put("k", row(10_000));
        }
        assertThat(mCache.sizeBytes()).isBetween(10_000L, 11_000L);
    }

    @Test
    void largeRowDisplacesNoOther() {
        mCache.put("k1", row(10));
        mCache.put("k2", row(500_000));
        assertThat(mCache.get("k1")).isPresent();
        assertThat(mCache.get("k2")).isEmpty();
    }
}
