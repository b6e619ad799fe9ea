package org.heathercourse.daemon.http;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.heathercourse.daemon.call.Answer;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.log.EventLog;

/**
 * An answer to a request whose body is still being read while the answer is written. The body ends
 * with the answer. Not safe for use by several threads.
 */
final class StreamedBodyAnswer implements Answer {
    private static final EventLog LOG = EventLog.of(StreamedBodyAnswer.class);

    private final Answer mAnswer;
    private final StreamedBody mBody;
    private final HttpServletRequest mRequest;
    private final HttpServletResponse mResponse;

    /**
     * Wraps an answer.
     *
     * @param answer answer to the request
     * @param body body of the request
     * @param request request of the caller
     * @param response response to the caller
     */
    StreamedBodyAnswer(
            Answer answer,
            StreamedBody body,
            HttpServletRequest request,
            HttpServletResponse response) {
        mAnswer = answer;
        mBody = body;
        mRequest = request;
        mResponse = response;
    }

    @Override
    public PeerMessage next(long timeoutMillis) throws InterruptedException {
        return mAnswer.next(timeoutMillis);
    }

    /** Ends the body; closes the connection of the caller if a read of the body is in progress. */
    @Override
    public void close() {
        mAnswer.close();
        if (mBody.end()) {
            closeConnection();
        }
    }

    private void closeConnection() {
        try {
            mResponse.getOutputStream().close();
        } catch (IOException e) {
            LOG.debug("caller_disconnected", "reason", e.getClass().getSimpleName());
        }
        ServletContextRequest.getServletContextRequest(mRequest)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }
}
