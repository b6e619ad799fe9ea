package org.heathercourse.daemon.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.IdleTimeout;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.stream.EventBoundary;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.Answer;
import org.heathercourse.daemon.peer.PeerErrors;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallHead;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;

/** Streams one answer to a caller. Not safe for use by several threads. */
final class AnswerWriter {
    private static final long RECHECK_MILLIS = 1000;
    private static final byte[] KEEP_ALIVE_COMMENT =
            ": waiting\n\n".getBytes(StandardCharsets.UTF_8);

    /**
     * Maximum time in milliseconds without a write to an event stream. Comments keep an idle stream
     * open and reveal callers that have disconnected.
     */
    private static final long MAX_KEEP_ALIVE_MILLIS = 10_000;

    private final HttpServletRequest mRequest;
    private final HttpServletResponse mResponse;
    private final Answer mAnswer;
    private final Supplier<Optional<HeathercourseException>> mRecheck;
    private final Ticker mTicker;
    private final long mKeepAliveMillis;
    private final EventBoundary mBoundary = new EventBoundary();
    private OutputStream mOutput;
    private boolean mHeadWritten;
    private boolean mIsEventStream;
    private boolean mHasUnflushedBytes;
    private long mLastRecheckMillis;
    private long mLastWriteMillis;
    private String mOutcome = "ok";

    /**
     * Creates a writer.
     *
     * @param request request of the caller
     * @param response response to the caller
     * @param answer answer to stream
     * @param recheck returns the error that ends the response if the request may not continue
     * @param ticker monotonic clock
     * @param idleTimeoutMillis time in milliseconds after which an idle connection is closed
     */
    AnswerWriter(
            HttpServletRequest request,
            HttpServletResponse response,
            Answer answer,
            Supplier<Optional<HeathercourseException>> recheck,
            Ticker ticker,
            long idleTimeoutMillis) {
        mKeepAliveMillis = Math.max(1, Math.min(MAX_KEEP_ALIVE_MILLIS, idleTimeoutMillis / 2));
        mRequest = request;
        mResponse = response;
        mAnswer = answer;
        mRecheck = recheck;
        mTicker = ticker;
        mLastRecheckMillis = ticker.readMillis();
        mLastWriteMillis = mLastRecheckMillis;
    }

    /**
     * Writes the answer until it ends or the request may not continue, and closes it.
     *
     * @return wire name of the error kind, or {@code ok}
     * @throws IOException if the caller disconnected
     */
    String write() throws IOException, InterruptedException {
        mOutput = mResponse.getOutputStream();
        try {
            boolean ended = false;
            while (!ended) {
                PeerMessage message = mAnswer.next(0);
                if (message == null) {
                    flush();
                    message = mAnswer.next(Math.min(RECHECK_MILLIS, mKeepAliveMillis));
                }
                ended = recheck() || message != null && handleMessage(message);
                writeKeepAlive();
            }
            return mOutcome;
        } finally {
            mAnswer.close();
            // The server writes what is left of the answer after this method has returned.
            restartIdlePeriod();
        }
    }

    private void flush() throws IOException {
        if (mHasUnflushedBytes) {
            restartIdlePeriod();
            mOutput.flush();
            mHasUnflushedBytes = false;
        }
    }

    private void writeKeepAlive() throws IOException {
        boolean isDue = mTicker.readMillis() - mLastWriteMillis >= mKeepAliveMillis;
        // A comment inside an event of a target would break that event in two.
        if (isDue && mIsEventStream && mBoundary.isBetweenEvents()) {
            writeBytes(KEEP_ALIVE_COMMENT);
        }
    }

    private void writeBytes(byte[] bytes) throws IOException {
        restartIdlePeriod();
        mOutput.write(bytes);
        mHasUnflushedBytes = true;
        mLastWriteMillis = mTicker.readMillis();
    }

    /**
     * Checks again whether the request may continue, if the check is due; ends the stream with an
     * error if it may not. Returns whether the stream has ended.
     */
    private boolean recheck() throws IOException {
        long nowMillis = mTicker.readMillis();
        if (nowMillis - mLastRecheckMillis < RECHECK_MILLIS) {
            return false;
        }
        mLastRecheckMillis = nowMillis;
        Optional<HeathercourseException> refusal = mRecheck.get();
        if (refusal.isEmpty()) {
            return false;
        }
        writeError(PeerErrors.toMessage(refusal.get()));
        return true;
    }

    private boolean handleMessage(PeerMessage message) throws IOException {
        if (message instanceof CallHead head) {
            writeHead(head);
        } else if (message instanceof CallChunk chunk) {
            mBoundary.add(chunk.bytes(), 0, chunk.bytes().length);
            writeBytes(chunk.bytes());
        } else if (message instanceof CallEnd end) {
            if (mIsEventStream && end.durability().equals("pending")) {
                writeBytes(": durability=pending\n\n".getBytes(StandardCharsets.UTF_8));
            }
            return true;
        } else if (message instanceof ErrorReply error) {
            writeError(error);
            return true;
        }
        return false;
    }

    private void writeHead(CallHead head) {
        mHeadWritten = true;
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
                    mIsEventStream = value.startsWith("text/event-stream");
                }
            }
        }
        if (mIsEventStream) {
            mResponse.setHeader("Cache-Control", "no-cache");
        }
    }

    private void writeError(ErrorReply error) throws IOException {
        mOutcome = error.kind();
        if (!mHeadWritten) {
            HttpErrors.write(mResponse, error);
        } else if (mIsEventStream && mBoundary.isBetweenEvents()) {
            writeBytes(HttpErrors.toEvent(error));
        } else {
            resetConnection();
        }
    }

    /**
     * Restarts the idle timeout of the connection. The server fails a write that is in progress
     * when the timeout expires, even if the connection was idle only because the target worked.
     */
    private void restartIdlePeriod() {
        if (socketEndPoint() instanceof IdleTimeout idle) {
            idle.notIdle();
        }
    }

    private EndPoint socketEndPoint() {
        EndPoint endPoint = endPoint();
        while (endPoint instanceof EndPoint.Wrapper wrapper) {
            endPoint = wrapper.unwrap();
        }
        return endPoint;
    }

    private EndPoint endPoint() {
        return ServletContextRequest.getServletContextRequest(mRequest)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint();
    }

    /**
     * Resets the connection, because the body would look complete otherwise: the server gives it no
     * chunks if the connection is not kept alive, so that each orderly close ends it.
     */
    private void resetConnection() throws IOException {
        mOutput.flush();
        if (socketEndPoint().getTransport() instanceof SocketChannel channel) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
        endPoint().close();
    }
}
