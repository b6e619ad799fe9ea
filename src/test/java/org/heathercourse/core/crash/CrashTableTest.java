package org.heathercourse.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against requests that crash targets without end, and against refusing sound ones. */
class CrashTableTest {
    /** Size of a row in bytes that the store accepts. */
    private static final int MAX_ROW_BYTES = 65_536;

    private static final RequestDigest KILLER = digest("killer");
    private static final RequestDigest SOUND = digest("sound");

    private static RequestDigest digest(String body) {
        return RequestDigest.of("w", "POST", "/x", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Each target ends after the one before it in the alphabet, and {@code c} at 1,000 ms. */
    private static CrashTable crashes(CrashTable table, RequestDigest digest, String... targets) {
        CrashTable result = table;
        for (String target : targets) {
            result = crash(result, digest, target, 1_000 + 10 * (target.charAt(0) - 'c'));
        }
        return result;
    }

    /** Adds a crash of a run that began 5 ms before it. */
    private static CrashTable crash(
            CrashTable table, RequestDigest digest, String target, long endedMillis) {
        return table.withCrash(digest, new Crash(target, "g", endedMillis - 5, endedMillis));
    }

    @Test
    void digestCoversEachPartAndItsBounds() {
        byte[] body = {'b'};
        assertThat(RequestDigest.of("w", "GET", "/x", body))
                .isEqualTo(RequestDigest.of("w", "GET", "/x", body.clone()))
                .isNotEqualTo(RequestDigest.of("v", "GET", "/x", body))
                .isNotEqualTo(RequestDigest.of("w", "PUT", "/x", body))
                .isNotEqualTo(RequestDigest.of("w", "GET", "/xb", new byte[0]))
                .isNotEqualTo(RequestDigest.of("w", "GET", "/x", new byte[0]));
        assertThat(RequestDigest.of(null, "GET", "/x", body))
                .isNotEqualTo(RequestDigest.of("", "GET", "/x", body));
    }

    @Test
    void quarantinesAfterThirdCrash() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b");
        assertThat(table.isQuarantined(KILLER)).isFalse();
        table = crashes(table, KILLER, "c");
        assertThat(table.isQuarantined(KILLER)).isTrue();
        assertThat(table.isQuarantined(SOUND)).isFalse();
        assertThat(table.quarantineEndMillis(KILLER)).isEqualTo(601_000);
    }

    /** Several gateways, or one that lost a reply, report the same end of a target. */
    @Test
    void sameIncarnationCountsOnce() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "a", "b", "a");
        assertThat(table.crashCount(KILLER)).isEqualTo(2);
        assertThat(table.isQuarantined(KILLER)).isFalse();
    }

    @Test
    void doesNotRefuseRequestWhoseCrashesAreExplained() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b", "c", "d");
        table = crashes(table, SOUND, "a", "b", "c");
        assertThat(table.isQuarantined(SOUND)).as("all three explained").isFalse();
        table = crashes(table, SOUND, "x");
        assertThat(table.isQuarantined(SOUND)).as("one unexplained").isTrue();
    }

    /** Guards against a crashing request that runs again because another one shared a target. */
    @Test
    void lateReportsOfAnotherRequestReleaseNothing() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b", "c");
        table = crashes(table, SOUND, "a", "d", "e", "f");
        assertThat(table.isQuarantined(KILLER)).isTrue();
        assertThat(table.isQuarantined(SOUND)).isTrue();
    }

    /** Nothing tells such requests apart, and leaving both out would leave the killer out. */
    @Test
    void quarantinesAllRequestsWithTheSameCrashes() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b", "c");
        table = crashes(table, SOUND, "a", "b", "c");
        assertThat(table.quarantinedDigests())
                .containsExactlyInAnyOrder(KILLER.text(), SOUND.text());
    }

    /** Guards against sound requests and paths that are refused because a rack of targets ended. */
    @Test
    void targetsThatEndAtTheSameTimeAreOneEvent() {
        RequestDigest path = RequestDigest.ofPath("w", "POST", "/x");
        CrashTable table = CrashTable.EMPTY;
        for (int rack = 0; rack < 2; rack++) {
            for (int target = 0; target < 5; target++) {
                long endedMillis = 10_000 * rack + 1_000 + 3 * target;
                Crash crash = new Crash(rack + "/" + target, "g", endedMillis - 700, endedMillis);
                table = table.withCrash(SOUND, crash).withCrash(path, crash);
            }
        }
        assertThat(table.crashCount(SOUND)).isEqualTo(10);
        assertThat(table.independentCrashCount(SOUND)).isEqualTo(2);
        assertThat(table.quarantinedDigests()).isEmpty();
        table = crash(crash(table, SOUND, "x", 30_000), path, "x", 30_000);
        assertThat(table.isQuarantined(SOUND)).as("third event").isTrue();
    }

    /** Guards against a crashing path that is not recognized because a long run ended with it. */
    @Test
    void lastRunOnTheTargetCounts() {
        CrashTable table = crashes(CrashTable.EMPTY, SOUND, "a", "b");
        Crash longRun = new Crash("c", "g", 100, 1_000);
        Crash lastRun = new Crash("c", "g", 995, 1_000);
        assertThat(table.withCrash(SOUND, longRun).isQuarantined(SOUND)).isFalse();
        CrashTable both = table.withCrash(SOUND, longRun).withCrash(SOUND, lastRun);
        assertThat(both.isQuarantined(SOUND)).isTrue();
        assertThat(both).isEqualTo(table.withCrash(SOUND, lastRun).withCrash(SOUND, longRun));
        assertThat(both.hasCrash(SOUND, longRun)).isTrue();
        assertThat(table.withCrash(SOUND, longRun).hasCrash(SOUND, lastRun)).isFalse();
    }

    /** Guards against ends at the same time that seem to follow each other on different clocks. */
    @Test
    void clocksOfGatewaysMayDiffer() {
        CrashTable table = CrashTable.EMPTY;
        for (int i = 0; i < 3; i++) {
            long endedMillis = 1_000 + 400 * i;
            table =
                    table.withCrash(
                            SOUND, new Crash("t" + i, "g" + i, endedMillis - 300, endedMillis));
        }
        assertThat(table.independentCrashCount(SOUND)).isEqualTo(2);
        assertThat(table.isQuarantined(SOUND)).isFalse();
    }

    /** Guards against a crashing request that is released by the crashes of its own copies. */
    @Test
    void copiesThatEndLateDoNotEndTheQuarantine() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b", "c");
        for (int i = 0; i < 3 * CrashEntry.MAX_CRASHES; i++) {
            table = table.withCrash(KILLER, new Crash("copy" + i, "g", 900, 1_100 + i));
        }
        assertThat(table.isQuarantined(KILLER)).isTrue();
        assertThat(table.crashCount(KILLER)).isEqualTo(CrashEntry.MAX_CRASHES);
    }

    /** Guards against a full table that the store refuses, so that no crash is shared any more. */
    @Test
    void fullTableFitsIntoOneRow() throws JsonProcessingException {
        CrashTable table = CrashTable.EMPTY;
        for (int i = 0; i < 400; i++) {
            Crash crash =
                    new Crash(
                            "i-0123456789abcdef@kxyz" + i,
                            "1y2p0ij32e8e7",
                            1_796_600_000_000L,
                            1_796_600_001_000L + i);
            table = table.withCrash(digest("" + i % 200), crash);
        }
        assertThat(new ObjectMapper().writeValueAsBytes(table)).hasSizeLessThan(MAX_ROW_BYTES);
    }

    /** Guards against a crashing request that comes again with another body each time. */
    @Test
    void quarantinesPathOfRequestsWithDifferentBodies() {
        RequestDigest path = RequestDigest.ofPath("w", "POST", "/x?query");
        assertThat(path)
                .isEqualTo(RequestDigest.ofPath("w", "POST", "/x"))
                .isNotEqualTo(RequestDigest.ofPath("v", "POST", "/x"))
                .isNotEqualTo(RequestDigest.of("w", "POST", "/x", new byte[0]));
        CrashTable table = crashes(crashes(CrashTable.EMPTY, KILLER, "a", "b"), path, "a", "b");
        assertThat(crashes(table, path, "c").isQuarantined(path)).as("two bodies").isTrue();
        table = crashes(crashes(table, KILLER, "c"), path, "c");
        assertThat(table.isQuarantined(path)).as("one body explains all").isFalse();
        assertThat(table.isQuarantined(KILLER)).as("the path does not release it").isTrue();
        assertThat(crashes(table, path, "d").isQuarantined(path)).as("another body").isTrue();
        assertThat(crashes(table, path, "d").isQuarantined(KILLER)).isTrue();
        assertThat(crashes(table, path, "d").quarantineEndMillis(path)).isEqualTo(61_010);
    }

    /** Guards against a success whose late record removes crashes that came after it. */
    @Test
    void successRemovesTheCrashesBeforeItOnly() {
        CrashTable before = crashes(CrashTable.EMPTY, KILLER, "a");
        CrashTable after = crashes(before, KILLER, "b", "c", "d");
        assertThat(after.withoutKnownCrashes(KILLER, before).crashCount(KILLER)).isEqualTo(3);
        assertThat(before.withoutKnownCrashes(KILLER, before).isEmpty()).isTrue();
        assertThat(after.withoutKnownCrashes(SOUND, before)).isSameAs(after);
    }

    @Test
    void forgetsRequestThatSucceededOrExpired() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b", "c");
        assertThat(table.withoutDigest(KILLER).isEmpty()).isTrue();
        assertThat(table.withoutDigest(SOUND)).isSameAs(table);
        assertThat(table.withoutExpired(600_999)).isSameAs(table);
        assertThat(table.withoutExpired(601_000).isEmpty()).isTrue();
    }

    /** Guards against a sound request that is refused once the one that explains it expires. */
    @Test
    void explainedCrashesExpireWithTheRequestThatExplainsThem() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b", "c", "d");
        table = crash(crash(table, SOUND, "a", 1_200), SOUND, "b", 1_210);
        table = crash(table, SOUND, "c", 1_220).withoutExpired(601_010);
        assertThat(table.contains(KILLER)).isFalse();
        assertThat(table.isQuarantined(SOUND)).isFalse();
        assertThat(table.crashCount(SOUND)).isZero();
    }

    /** Guards against a table that grows without end or drops the worst entries. */
    @Test
    void keepsEntriesWithMostCrashesThenLatest() {
        CrashTable table = crashes(CrashTable.EMPTY, KILLER, "a", "b");
        for (int i = 0; i < 2 * CrashTable.MAX_ENTRIES; i++) {
            table = crash(table, digest("sound" + i), "c", 2_000 + i);
        }
        assertThat(table.entries()).hasSize(CrashTable.MAX_ENTRIES);
        assertThat(table.crashCount(KILLER)).isEqualTo(2);
        assertThat(table.contains(digest("sound0"))).isFalse();
        for (int i = 0; i < 100; i++) {
            table = crash(table, KILLER, "t" + i, 3_000);
        }
        assertThat(table.crashCount(KILLER)).isEqualTo(CrashEntry.MAX_CRASHES);
    }

    /** Gateways report the ends of a target in any order. */
    @Property(tries = 300)
    void orderOfReportsDoesNotChangeTheResult(
            @ForAll @Size(max = 60) List<@IntRange(max = 71) Integer> reports,
            @ForAll Random random) {
        List<Integer> shuffled = new ArrayList<>(reports);
        Collections.shuffle(shuffled, random);
        assertThat(apply(shuffled)).isEqualTo(apply(reports));
        assertThat(apply(shuffled).quarantinedDigests())
                .isEqualTo(apply(reports).quarantinedDigests());
    }

    private static CrashTable apply(List<Integer> reports) {
        CrashTable table = CrashTable.EMPTY;
        for (int report : reports) {
            table = crash(table, digest("" + report % 6), "t" + report / 6, report * 7L % 13);
        }
        return table;
    }
}
