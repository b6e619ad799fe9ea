package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.heathercourse.platform.entry.AnswerFacts;
import org.heathercourse.platform.entry.CallFacts;
import org.heathercourse.platform.entry.CallFormat;
import org.heathercourse.platform.entry.Dispatch;

/** Reads the facts of responses from short headers. */
final class ShortHeaderFormat implements CallFormat {
    @Override
    public CallFacts read(HttpHeaders headers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void removeReserved(HttpHeaders headers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void write(HttpHeaders headers, Dispatch dispatch) {
        throw new UnsupportedOperationException();
    }

    @Override
    public AnswerFacts readAnswer(int status, HttpHeaders headers) {
        boolean notRun = headers.contains("Not-Run");
        return new AnswerFacts(
                headers.get("Request-Id"),
                true,
                notRun,
                status == 421,
                headers.contains("Leaving"),
                0,
                headers.getAll("Request-Id").size() > 1);
    }
}
