package org.heathercourse.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against lines as long as the head of a request, of which many may wait to be written. */
class EventLogTest {
    @Test
    void longValuesAreCut() {
        String line = EventLog.line("call", "program", "x".repeat(15_000), "status", 402);
        assertThat(line)
                .isEqualTo(
                        "event=call program="
                                + "x".repeat(EventLog.MAX_VALUE_CHARS)
                                + "... status=402");
    }

    @Test
    void valuesWithBlanksAreQuoted() {
        assertThat(EventLog.line("e", "a", "b c", "d", "")).isEqualTo("event=e a=\"b c\" d=\"\"");
    }
}
