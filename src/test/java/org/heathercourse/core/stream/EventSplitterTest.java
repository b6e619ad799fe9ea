package org.heathercourse.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against passing parts of events to a caller, which cannot be withdrawn when the stream
 * breaks.
 */
class EventSplitterTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:3\ndata: c\n\n";

    private final EventSplitter mSplitter = new EventSplitter();

    private String add(String text) {
        return new String(
                mSplitter.add(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    @Test
    void holdsAnEventUntilItIsComplete() {
        assertThat(add("id: 1\ndata: a\n")).isEmpty();
        assertThat(mSplitter.lastEventId()).isNull();
        assertThat(add("\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mSplitter.lastEventId()).isEqualTo("1");
        assertThat(mSplitter.eventCount()).isEqualTo(1);
    }

    /**
     * Guards against events with the versions of weights that are changed, counted twice or not
     * recognized as events, also where one event has several tokens.
     */
    @Test
    void linesWithVersionsOfWeightsPassUnchanged() {
        String stream =
                "x-heathercourse-weight-versions: 3\nid: 1\ndata: a\n\n"
                        + "x-heathercourse-weight-versions: 3\r\nid: 2\r\n"
                        + "data: b\r\ndata: c\r\n\r\n"
                        + "x-heathercourse-weight-versions: 3,4\nid: 3\ndata: d e f\ndata: g\n\n";
        for (int size = 1; size <= stream.length(); size++) {
            EventSplitter splitter = new EventSplitter();
            StringBuilder passed = new StringBuilder();
            for (int from = 0; from < stream.length(); from += size) {
                String part = stream.substring(from, Math.min(stream.length(), from + size));
                byte[] complete = splitter.add(part.getBytes(StandardCharsets.UTF_8));
                passed.append(new String(complete, StandardCharsets.UTF_8));
            }
            assertThat(splitter.endInput()).isTrue();
            passed.append(new String(splitter.drainIncomplete(), StandardCharsets.UTF_8));
            assertThat(passed).hasToString(stream);
            assertThat(splitter.eventCount()).isEqualTo(3);
            assertThat(splitter.lastEventId()).isEqualTo("3");
        }
    }

    /** Guards against a stream that cannot go on at a target with other versions of its weights. */
    @Test
    void streamWithVersionsOfWeightsIsContinued() {
        add("x-heathercourse-weight-versions: 3\nid: 1\ndata: a\ndata: b\n\nx-heather");
        mSplitter.discardIncomplete();
        assertThat(mSplitter.canBeContinued()).isTrue();
        mSplitter.expectContinuation();
        String next = "x-heathercourse-weight-versions: 4\nid: 2\ndata: c\n\n";
        assertThat(add(next)).isEqualTo(next);
        assertThat(mSplitter.isMisplaced()).isFalse();
    }

    @Test
    void resumesAfterIncompleteEvent() {
        add("id: 1\ndata: a\n\nid: 2\ndata: bro");
        mSplitter.discardIncomplete();
        assertThat(mSplitter.lastEventId()).isEqualTo("1");
        assertThat(add("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(mSplitter.eventCount()).isEqualTo(2);
    }

    @Test
    void bytesAfterTheLastEventAreReturnedByDrainOnly() {
        assertThat(add("id: 1\n\nrest")).isEqualTo("id: 1\n\n");
        assertThat(new String(mSplitter.drainIncomplete(), StandardCharsets.UTF_8))
                .isEqualTo("rest");
    }

    /** Guards against events that are passed on twice, or left out, where a stream is resumed. */
    @Test
    void resumedStreamMustGoOnAfterLastEvent() {
        for (String next : List.of("3", "1", "5", "")) {
            EventSplitter splitter = new EventSplitter();
            addTo(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nda");
            splitter.discardIncomplete();
            splitter.expectContinuation();
            String idLine = next.isEmpty() ? "" : "id: " + next + "\n";
            assertThat(addTo(splitter, idLine + "data: d\n\nid: 6\ndata: e\n\n"))
                    .as(next)
                    .isEmpty();
            assertThat(splitter.isMisplaced()).as(next).isTrue();
            splitter.discardIncomplete();
            splitter.expectContinuation();
            String rest = ": comment\n\nid: 4\ndata: d\n\nid: 9\ndata: e\n\n";
            assertThat(addTo(splitter, rest)).as(next).isEqualTo(rest);
            assertThat(splitter.isMisplaced()).as(next).isFalse();
        }
    }

    /** Ids need not be numbers, and their distances may vary. */
    @Test
    void resumedStreamMayHaveOtherIds() {
        for (String ids : List.of("1,4,6,90", "10,20,30,33", "a,b,c,d", "7,8,x,y", "0,9")) {
            EventSplitter splitter = new EventSplitter();
            String[] id = ids.split(",");
            for (int i = 0; i < id.length - 1; i++) {
                addTo(splitter, "id: " + id[i] + "\ndata: a\n\n");
            }
            splitter.expectContinuation();
            String rest = "id: " + id[id.length - 1] + "\ndata: z\n\n";
            assertThat(addTo(splitter, rest)).as(ids).isEqualTo(rest);
        }
    }

    /** Guards against a stream that starts anew behind events that no id names. */
    @Test
    void streamWithUnnamedDataCannotBeContinued() {
        assertThat(mSplitter.canBeContinued()).isTrue();
        add(": comment\n\n");
        assertThat(mSplitter.canBeContinued()).isTrue();
        add("id: 1\ndata: a\n\ndata: b\n\n");
        assertThat(mSplitter.canBeContinued()).isFalse();
        add("id: 3\ndata: c\n\n");
        assertThat(mSplitter.canBeContinued()).isTrue();
    }

    private static String addTo(EventSplitter splitter, String text) {
        return new String(
                splitter.add(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    /** Guards against a stream that was broken off and is taken for a complete one. */
    @Test
    void streamThatEndsInsideEventIsNotComplete() {
        for (String end : List.of("id: 2", "id: 2\n", "id: 2\ndata: b\n", ": com", "data: b\r")) {
            assertThat(endsBetweenEvents("id: 1\ndata: a\n\n" + end)).as(end).isFalse();
        }
    }

    /** Guards against complete streams that are resumed or broken off without need. */
    @Test
    void streamThatEndsBetweenEventsIsComplete() {
        for (String end : List.of("", "\n", "\r\n", ": comment\n", "data: b\r\r")) {
            assertThat(endsBetweenEvents("id: 1\ndata: a\n\n" + end)).as(end).isTrue();
        }
        assertThat(endsBetweenEvents("")).isTrue();
    }

    private static boolean endsBetweenEvents(String stream) {
        EventSplitter splitter = new EventSplitter();
        splitter.add(stream.getBytes(StandardCharsets.UTF_8));
        return splitter.endInput();
    }

    /** Guards against streams with single carriage returns, whose events were never passed on. */
    @Test
    void carriageReturnEndsLine() {
        assertThat(add("id: 1\rdata: a\r\rid: 2\r")).isEqualTo("id: 1\rdata: a\r\r");
        assertThat(mSplitter.lastEventId()).isEqualTo("1");
        assertThat(add("\r")).isEmpty();
        assertThat(add("x")).isEqualTo("id: 2\r\r");
        assertThat(mSplitter.lastEventId()).isEqualTo("2");
    }

    /** Guards against an event without end, which would fill the memory. */
    @Test
    void reportsAnEventBeyondTheMaximumSize() {
        byte[] part = new byte[EventSplitter.MAX_EVENT_BYTES / 2];
        Arrays.fill(part, (byte) 'x');
        mSplitter.add(part);
        mSplitter.add(part);
        assertThat(mSplitter.exceedsMaxEventSize()).isFalse();
        add("x");
        assertThat(mSplitter.exceedsMaxEventSize()).isTrue();
    }

    /**
     * For any division of the stream into reads, all bytes are returned and split after events
     * only.
     */
    @Property(tries = 300)
    void preservesAllBytesAndSplitsAfterEvents(
            @ForAll @Size(12) List<@IntRange(min = 1, max = 12) Integer> sizes) {
        EventSplitter splitter = new EventSplitter();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int offset = 0;
        for (int i = 0; offset < bytes.length; i++) {
            int end = Math.min(bytes.length, offset + sizes.get(i % sizes.size()));
            out.writeBytes(splitter.add(Arrays.copyOfRange(bytes, offset, end)));
            String complete = out.toString(StandardCharsets.UTF_8);
            assertThat(
                            complete.isEmpty()
                                    || complete.endsWith("\n\n")
                                    || complete.endsWith("\r\n\r\n"))
                    .isTrue();
            offset = end;
        }
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo(STREAM);
        assertThat(splitter.lastEventId()).isEqualTo("3");
    }
}
