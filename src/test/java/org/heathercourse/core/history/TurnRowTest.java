package org.heathercourse.core.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against rows that grow with the whole chain, and against damaged rows that are used. */
class TurnRowTest {
    private static final Lifetime LIFETIME = Lifetime.beginningAt(1_000_000, 60_000);

    private static byte[] bytes(int length, long seed) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    @Test
    void segmentStartsAnewBeyondMaximum() {
        TurnRow first = TurnRow.first(1, LIFETIME, bytes(TurnRow.MAX_SEGMENT_BYTES - 10, 1));
        TurnRow full = first.child("k1", 2, LIFETIME, bytes(10, 2));
        assertThat(full.bases()).isEmpty();
        assertThat(full.segment()).hasSize(TurnRow.MAX_SEGMENT_BYTES);
        TurnRow next = full.child("k2", 3, LIFETIME, bytes(1, 3));
        assertThat(next.bases()).extracting(TurnRow.Base::key).containsExactly("k2");
        assertThat(next.segment()).hasSize(1);
        assertThat(next.historyBytes()).isEqualTo(TurnRow.MAX_SEGMENT_BYTES + 1);
    }

    /** An empty base would cost a read and contribute nothing. */
    @Test
    void emptySegmentIsContinued() {
        TurnRow empty = TurnRow.first(1, LIFETIME, new byte[0]);
        TurnRow next = empty.child("k1", 2, LIFETIME, bytes(100_000, 1));
        assertThat(next.bases()).isEmpty();
    }

    @Property(tries = 200)
    void decodesWhatWasEncoded(
            @ForAll @IntRange(min = 0, max = 150_000) int segmentBytes,
            @ForAll @Size(max = 20) List<String> keys,
            @ForAll long writer) {
        List<TurnRow.Base> bases = new ArrayList<>();
        keys.forEach(key -> bases.add(new TurnRow.Base(key.replaceAll("[^a-z]", "x"), 5)));
        TurnRow row = new TurnRow(writer, LIFETIME, 77, bases, bytes(segmentBytes, 1));
        List<byte[]> values = TurnRowCodec.encode(row);
        assertThat(values).allMatch(value -> value.length <= TurnRowCodec.MAX_VALUE_BYTES + 100);
        TurnRow decoded = TurnRowCodec.decode(values).orElseThrow();
        assertThat(decoded.hasSameContent(row)).isTrue();
        assertThat(decoded.bases()).isEqualTo(bases);
        assertThat(decoded.lifetime()).isEqualTo(LIFETIME);
        assertThat(decoded.writer()).isEqualTo(writer);
    }

    @Test
    void extendedRowHasSameContent() {
        TurnRow row = TurnRow.first(1, LIFETIME, bytes(80_000, 1));
        List<byte[]> values = new ArrayList<>(TurnRowCodec.encode(row));
        values.set(0, TurnRowCodec.withRetainedUntil(values.get(0), 9_000_000));
        TurnRow extended = TurnRowCodec.decode(values).orElseThrow();
        assertThat(extended.lifetime().retainedUntilMillis()).isEqualTo(9_000_000);
        assertThat(extended.lifetime().neededUntilMillis()).isEqualTo(LIFETIME.neededUntilMillis());
        assertThat(extended.hasSameContent(row)).isTrue();
    }

    /** Guards against a history with wrong bytes from a row that was damaged or mixed up. */
    @Property(tries = 300)
    void rejectsDamagedContent(
            @ForAll @IntRange(min = 0, max = 59_999) int position,
            @ForAll @IntRange(min = 1, max = 255) int change) {
        TurnRow row =
                TurnRow.first(1, LIFETIME, bytes(30_000, 1))
                        .child("k1", 2, LIFETIME, bytes(80_000, 2));
        List<byte[]> values = TurnRowCodec.encode(row);
        assertThat(values).hasSize(2);
        // The format, the number of continuations, the checksum and the content are protected.
        int headerBytes = 17;
        byte[] damaged = values.get(position < 40_000 ? 0 : 1);
        int index = position < 40_000 ? headerBytes + position : position - 40_000;
        if (index < damaged.length) {
            damaged[index] ^= (byte) change;
            assertThat(TurnRowCodec.decode(values)).isEmpty();
        }
    }

    @Test
    void rejectsMissingContinuationAndOtherFormats() {
        List<byte[]> values = TurnRowCodec.encode(TurnRow.first(1, LIFETIME, bytes(80_000, 1)));
        assertThat(TurnRowCodec.decode(values.subList(0, 1))).isEmpty();
        assertThat(TurnRowCodec.decode(List.of(values.get(0), new byte[0]))).isEmpty();
        assertThat(TurnRowCodec.decode(List.of(new byte[0]))).isEmpty();
        values.get(0)[0] = 2;
        assertThat(TurnRowCodec.decode(values)).isEmpty();
    }
}
