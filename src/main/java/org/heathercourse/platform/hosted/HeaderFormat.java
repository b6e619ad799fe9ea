package org.heathercourse.platform.hosted;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import org.heathercourse.platform.entry.AnswerFacts;
import org.heathercourse.platform.entry.CallFacts;
import org.heathercourse.platform.entry.CallFormat;
import org.heathercourse.platform.entry.Dispatch;

/** Call headers of this platform. Immutable. */
final class HeaderFormat implements CallFormat {
    /** Status of a target whose identity is not the expected one; it has not run the request. */
    private static final int WRONG_TARGET_STATUS = 421;

    @Override
    public CallFacts read(HttpHeaders headers) {
        long[] tokens = tokens(headers.get(WireNames.TOKENS));
        return new CallFacts(
                headers.get(WireNames.REQUEST_ID),
                headers.get(WireNames.KEY),
                number(headers.get(WireNames.DEADLINE)),
                headers.get(WireNames.PROGRAM),
                number(headers.get(WireNames.PROGRAM_DEADLINE)),
                number(headers.get(WireNames.BUDGET)),
                tokens[0],
                tokens[1],
                headers.get(WireNames.PREVIOUS_TURN),
                lastEventId(headers),
                affinityKey(headers));
    }

    /** Returns the id after which a caller resumes a stream; null if there is none. */
    private static String lastEventId(HttpHeaders headers) {
        String id = headers.get(WireNames.LAST_EVENT);
        return id == null || id.isBlank() ? null : id.trim();
    }

    /** Returns the value of the affinity cookie; null if there is none. */
    private static String affinityKey(HttpHeaders headers) {
        for (String header : headers.getAll(HttpHeaderNames.COOKIE)) {
            for (String cookie : header.split(";")) {
                String pair = cookie.trim();
                if (pair.startsWith(WireNames.AFFINITY_COOKIE + "=")) {
                    return pair.substring(WireNames.AFFINITY_COOKIE.length() + 1);
                }
            }
        }
        return null;
    }

    private static OptionalLong number(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of((long) Double.parseDouble(text.trim()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Parses prompt and output tokens; an absent or malformed number is 0. */
    private static long[] tokens(String text) {
        if (text == null) {
            return new long[2];
        }
        String[] parts = text.split(",", 2);
        long prompt = number(parts[0]).orElse(0);
        return new long[] {prompt, parts.length < 2 ? 0 : number(parts[1]).orElse(0)};
    }

    @Override
    public void removeReserved(HttpHeaders headers) {
        headers.remove(WireNames.KEY);
        for (String name : WireNames.RESERVED) {
            headers.remove(name);
        }
    }

    @Override
    public void write(HttpHeaders headers, Dispatch dispatch) {
        headers.set(WireNames.EXPECTED_TARGET, dispatch.targetId());
        headers.set(WireNames.DEADLINE, Long.toString(dispatch.remainingMillis()));
        headers.set(WireNames.PRIORITY, Integer.toString(dispatch.priority()));
        if (dispatch.workspace() != null) {
            headers.set(WireNames.WORKSPACE, dispatch.workspace());
        }
        if (Dispatch.STREAM_START.equals(dispatch.afterEventId())) {
            headers.remove(WireNames.LAST_EVENT);
        } else if (dispatch.afterEventId() != null) {
            headers.set(WireNames.LAST_EVENT, dispatch.afterEventId());
        }
    }

    @Override
    public AnswerFacts readAnswer(int status, HttpHeaders headers) {
        boolean wrongTarget = status == WRONG_TARGET_STATUS;
        String requestId = headers.get(WireNames.REQUEST_ID);
        return new AnswerFacts(
                requestId == null || requestId.isEmpty() ? null : requestId,
                headers.contains(WireNames.SIGNATURE),
                wrongTarget || headers.contains(WireNames.NOT_RUN),
                wrongTarget,
                headers.contains(WireNames.LEAVING),
                number(headers.get(WireNames.COLD_REMAINING)).orElse(0),
                isRepeated(headers, WireNames.REQUEST_ID)
                        || isRepeated(headers, WireNames.SIGNATURE));
    }

    private static boolean isRepeated(HttpHeaders headers, String name) {
        return headers.getAll(name).size() > 1;
    }
}
