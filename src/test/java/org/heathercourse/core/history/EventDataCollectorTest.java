package org.heathercourse.core.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against histories that differ from what callers saw, however the bytes of events arrive.
 */
class EventDataCollectorTest {
    private static final int MAX_BYTES = 1_000;

    private static final String STREAM =
            ": comment\n\n"
                    + "x-heathercourse-weight-versions: 3\nid: 1\ndata: one\n\n"
                    + "id: 2\r\nevent: token\r\ndata:two\r\ndata:  2\r\n\r\n"
                    + "retry: 5\rdata: three\r\r"
                    + "id: 4\n\n"
                    + "data\n\n"
                    + "data:\ndata:\n\n"
                    + "dat: x\ndatax: y\n data: z\nDATA: a\n\n"
                    + "data: \u00e9: data: x\n:data: c\n\n"
                    + "data: incomplete\n";

    private static final String EXPECTED =
            "one\n" + "two\n 2\n" + "three\n" + "\n" + "\n\n" + "\u00e9: data: x\n";

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String data(EventDataCollector collector) {
        return new String(collector.data(), StandardCharsets.UTF_8);
    }

    private static String collect(String stream) {
        EventDataCollector collector = new EventDataCollector(MAX_BYTES);
        assertThat(collector.add(utf8(stream))).isTrue();
        return data(collector);
    }

    @Test
    void collectsDataOfCompleteEvents() {
        assertThat(collect(STREAM)).isEqualTo(EXPECTED);
    }

    @Test
    void splitsAtEveryByteMakeNoDifference() {
        byte[] stream = utf8(STREAM);
        for (int i = 0; i <= stream.length; i++) {
            EventDataCollector collector = new EventDataCollector(MAX_BYTES);
            collector.add(Arrays.copyOfRange(stream, 0, i));
            collector.add(Arrays.copyOfRange(stream, i, stream.length));
            assertThat(data(collector)).as("split after %d bytes", i).isEqualTo(EXPECTED);
        }
        EventDataCollector single = new EventDataCollector(MAX_BYTES);
        for (byte b : stream) {
            single.add(new byte[] {b});
        }
        assertThat(data(single)).isEqualTo(EXPECTED);
    }

    @Test
    void joinsLinesAndRemovesOneSpace() {
        Map.of(
                        "data: a\ndata: b\n\n", "a\nb\n",
                        "data:a\r\ndata:b\r\n\r\n", "a\nb\n",
                        "data:  a \n\n", " a \n",
                        "data: a\n\n\n\ndata: b\n\n", "a\nb\n",
                        "data: a\r\n\rdata: b\n\n", "a\nb\n",
                        "data: a\nid: 1\ndata: b\n\n", "a\nb\n",
                        "event: a\n\n", "",
                        "data: a", "")
                .forEach((stream, data) -> assertThat(collect(stream)).isEqualTo(data));
    }

    /** Guards against a target whose events without end take all memory. */
    @Test
    void keepsNoMoreThanItsBound() {
        EventDataCollector collector = new EventDataCollector(10);
        assertThat(collector.add(utf8("data: 12345\n\ndata: 789"))).isTrue();
        assertThat(collector.sizeBytes()).isEqualTo(9);
        assertThat(collector.add(utf8("\n\n"))).as("10 bytes").isTrue();
        assertThat(collector.add(utf8("id: 1\n\n"))).isTrue();
        assertThat(collector.add(utf8("data:\n\n"))).as("11 bytes").isFalse();
        assertThat(collector.add(utf8("data: " + "x".repeat(100)))).isFalse();
        assertThat(collector.isExceeded()).isTrue();
        assertThat(collector.sizeBytes()).isEqualTo(10);
        assertThat(data(collector)).isEqualTo("12345\n789\n");
    }
}
