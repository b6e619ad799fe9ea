package org.heathercourse.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that a caller gets twice or not at all when it resumes a stream. */
class EventSkipperTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Passes complete events through a splitter and a skipper, in parts of a size. */
    private static String skip(String lastReadId, String stream, int partBytes) {
        EventSplitter splitter = new EventSplitter();
        EventSkipper skipper = new EventSkipper(lastReadId);
        StringBuilder result = new StringBuilder();
        byte[] all = bytes(stream);
        for (int i = 0; i < all.length; i += partBytes) {
            byte[] part = Arrays.copyOfRange(all, i, Math.min(all.length, i + partBytes));
            result.append(new String(skipper.add(splitter.add(part)), StandardCharsets.UTF_8));
        }
        return result.toString();
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void passesOnTheEventsAfterTheLastRead(String lineEnd) {
        String first = "id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\ndata: c\n\n";
        String rest = "data: without id\n\nid: 3\ndata: d\n\n";
        String end = ": end\n\n";
        String stream = (first + rest + end).replace("\n", lineEnd);
        // A carriage return ends the last event with the byte after it only.
        String expected = (rest + (lineEnd.equals("\r") ? "" : end)).replace("\n", lineEnd);
        for (int partBytes = 1; partBytes <= stream.length(); partBytes++) {
            assertThat(skip("2", stream, partBytes))
                    .as("parts of %d bytes", partBytes)
                    .startsWith(expected)
                    .isSubstringOf((rest + end).replace("\n", lineEnd));
        }
    }

    @Test
    void passesOnNothingWithoutTheEvent() {
        EventSkipper skipper = new EventSkipper("9");
        assertThat(skipper.add(bytes("id: 1\ndata: a\n\nid: 10\ndata: b\n\n"))).isEmpty();
        assertThat(skipper.hasFound()).isFalse();
    }

    /** Guards against an event whose id is only the start of another one. */
    @Test
    void comparesWholeIds() {
        assertThat(skip("1", "id: 11\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n", 7))
                .isEqualTo("id: 2\ndata: c\n\n");
    }
}
