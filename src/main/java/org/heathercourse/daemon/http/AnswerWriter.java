package org.heathercourse.daemon.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.Answer;
import org.heathercourse.daemon.peer.PeerErrors;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallHead;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;

/** Writes one answer to a caller as it comes. Used by one thread. */
final class AnswerWriter {
    private static final long CHECK_MILLIS = 1000;
    private static final byte[] KEEP_ALIVE = ": waiting\n\n".getBytes(StandardCharsets.UTF_8);
    // An idle event stream is kept open by comments; they also show that a caller has gone.
    private static final long KEEP_ALIVE_MILLIS = 10_000;

    private final HttpServletRequest mRequest;
    private final HttpServletResponse mResponse;
    private final Answer mAnswer;
    private final Supplier<Optional<HeathercourseException>> mRecheck;
    private final Ticker mTicker;
    private OutputStream mOut;
    private boolean mHeadSent;
    private boolean mEvents;
    private boolean mDirty;
    private long mCheckedMillis;
    private long mWrittenMillis;
    private String mKind = "ok";

    AnswerWriter(
            HttpServletRequest request,
            HttpServletResponse response,
            Answer answer,
            Supplier<Optional<HeathercourseException>> recheck,
            Ticker ticker) {
        mRequest = request;
        mResponse = response;
        mAnswer = answer;
        mRecheck = recheck;
        mTicker = ticker;
        mCheckedMillis = ticker.readMillis();
        mWrittenMillis = mCheckedMillis;
    }

    /**
     * Writes the answer to its end.
     *
     * @return wire name of the error kind, or ok
     * @throws IOException if the caller went away
     */
    String write() throws IOException, InterruptedException {
        mOut = mResponse.getOutputStream();
        try {
            boolean ended = false;
            while (!ended) {
                PeerMessage message = mAnswer.next(0);
                if (message == null) {
                    flush();
                    message = mAnswer.next(CHECK_MILLIS);
                }
                ended = check() || message != null && handle(message);
                keepAlive();
            }
            return mKind;
        } finally {
            mAnswer.close();
        }
    }

    private void flush() throws IOException {
        if (mDirty) {
            mOut.flush();
            mDirty = false;
        }
    }

    private void keepAlive() throws IOException {
        if (mEvents && mTicker.readMillis() - mWrittenMillis > KEEP_ALIVE_MILLIS) {
            put(KEEP_ALIVE);
        }
    }

    private void put(byte[] bytes) throws IOException {
        mOut.write(bytes);
        mDirty = true;
        mWrittenMillis = mTicker.readMillis();
    }

    /** Ends the stream if the key was withdrawn; returns whether it did. */
    private boolean check() throws IOException {
        long now = mTicker.readMillis();
        if (now - mCheckedMillis < CHECK_MILLIS) {
            return false;
        }
        mCheckedMillis = now;
        Optional<HeathercourseException> refusal = mRecheck.get();
        if (refusal.isEmpty()) {
            return false;
        }
        fail(PeerErrors.toMessage(duringCall(refusal.get())));
        return true;
    }

    /** The call goes on; only this connection ends, so nothing is said about whether it ran. */
    private static HeathercourseException duringCall(HeathercourseException refusal) {
        return HeathercourseException.builder(refusal.kind())
                .message(refusal.getMessage() + " (during the call)")
                .remedy("read the answer under the same identity, with a valid key")
                .notRun(false)
                .build();
    }

    private boolean handle(PeerMessage message) throws IOException {
        if (message instanceof CallHead head) {
            head(head);
        } else if (message instanceof CallChunk chunk) {
            put(chunk.bytes());
        } else if (message instanceof CallEnd end) {
            if (mEvents && end.durability().equals("pending")) {
                put(": durability=pending\n\n".getBytes(StandardCharsets.UTF_8));
            }
            return true;
        } else if (message instanceof ErrorReply error) {
            fail(error);
            return true;
        }
        return false;
    }

    private void head(CallHead head) {
        mHeadSent = true;
        mResponse.setStatus(head.status());
        for (Map.Entry<String, List<String>> header : head.headers().entrySet()) {
            boolean first = true;
            for (String value : header.getValue()) {
                if (first) {
                    mResponse.setHeader(header.getKey(), value);
                } else {
                    mResponse.addHeader(header.getKey(), value);
                }
                first = false;
                if (header.getKey().equalsIgnoreCase("Content-Type")) {
                    mEvents = value.startsWith("text/event-stream");
                }
            }
        }
        if (mEvents) {
            mResponse.setHeader("Cache-Control", "no-cache");
        }
    }

    private void fail(ErrorReply error) throws IOException {
        mKind = error.kind();
        if (!mHeadSent) {
            HttpErrors.write(mResponse, error);
        } else if (mEvents) {
            put(HttpErrors.event(error));
        } else {
            abort();
        }
    }

    /** Breaks the connection, as a body that just stopped would look like a whole answer. */
    private void abort() throws IOException {
        mOut.flush();
        ServletContextRequest.getServletContextRequest(mRequest)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }
}
