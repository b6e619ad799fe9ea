package org.heathercourse.gateway.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heathercourse.core.history.History;

/**
 * Guards against histories that differ from the inputs and outputs of their chain, for trees of
 * turns of all sizes on several gateways while replies are lost and writes delayed.
 */
class ChainCompositionTest {
    private static final int TURNS = 40;
    private static final int SIZES_COUNT = 11;

    /** Sizes of inputs in bytes: usual ones, and ones around the bounds of segments and rows. */
    private static final int[] SIZES_BYTES = {
        0, 1, 140, 2_100, 13_000, 28_672, 57_344, 57_345, 61_440, 65_536, 200_000
    };

    private final HistoryGateways mGateways = new HistoryGateways();
    private final FaultyTurnStore mStore = mGateways.mStore;
    private final List<byte[]> mExpected = new ArrayList<>();

    @Property(tries = 40)
    void historyIsThatOfPlainModel(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = SIZES_COUNT) int sizes) {
        SplittableRandom random = new SplittableRandom(seed);
        String prefix = "s" + seed + "-" + sizes + "-";
        mExpected.clear();
        List<StoreTurnHistory> gateways =
                List.of(mGateways.create(), mGateways.create(), mGateways.create());
        for (int i = 0; i < TURNS; i++) {
            StoreTurnHistory gateway = gateways.get(random.nextInt(gateways.size()));
            // Mostly the turn before; sometimes an earlier one, or a new chain.
            int choice = random.nextInt(10);
            int parent = choice == 0 ? -1 : choice < 3 ? random.nextInt(i + 1) - 1 : i - 1;
            append(gateway, random, prefix, i, parent, sizes);
            if (random.nextInt(5) == 0) {
                mStore.executeDelayedWrites();
            }
        }
        for (int i = 0; i < TURNS; i++) {
            History history = mGateways.read(mGateways.create(), prefix + i).orElseThrow();
            assertThat(history.body()).as("turn %d", i).isEqualTo(mExpected.get(i));
            assertThat(history.sizeBytes()).isEqualTo(mExpected.get(i).length);
        }
    }

    private void append(
            StoreTurnHistory gateway,
            SplittableRandom random,
            String prefix,
            int turn,
            int parent,
            int sizes) {
        byte[] input = new byte[SIZES_BYTES[random.nextInt(sizes)]];
        byte[] output = new byte[random.nextInt(500)];
        random.nextBytes(input);
        random.nextBytes(output);
        byte[] earlier = parent < 0 ? new byte[0] : mExpected.get(parent);
        byte[] whole = Arrays.copyOf(earlier, earlier.length + input.length + output.length);
        System.arraycopy(input, 0, whole, earlier.length, input.length);
        System.arraycopy(output, 0, whole, earlier.length + input.length, output.length);
        mExpected.add(whole);
        History history =
                parent < 0 ? null : mGateways.read(gateway, prefix + parent).orElseThrow();
        mStore.mLostReplies = random.nextInt(4) == 0 ? 1 : 0;
        mStore.mDelayedNext = random.nextInt(4) == 0 ? 1 : 0;
        mGateways
                .await(gateway.append("w", prefix + turn, history, input, output, 600_000, 10_000))
                .join();
    }
}
