package org.heathercourse.daemon.call;

import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork.CallStream;

/**
 * Sends an answer over a link and pauses while the link is not writable. Runs on the threads that
 * add messages or report that the link is writable, on one of them at a time.
 */
final class AnswerPump {
    private final AnswerBuffer mAnswer;
    private final AnswerBuffer.Reader mReader;
    private final CallStream mStream;
    private final AtomicInteger mPendingWakeups = new AtomicInteger();
    private volatile boolean mStopped;

    AnswerPump(AnswerBuffer answer, CallStream stream) {
        mAnswer = answer;
        mReader = answer.reader();
        mStream = stream;
    }

    /** Starts sending; returns at once. Stops when the link closes or the peer cancels the call. */
    void start() {
        mStream.onLinkLost(this::stop);
        mStream.onMessage(
                message -> {
                    if (message instanceof PeerMessage.CallCancel) {
                        stop();
                    }
                });
        mAnswer.onReadable(this::scheduleSend);
    }

    private void stop() {
        mStopped = true;
        mAnswer.cancel();
    }

    private void scheduleSend() {
        if (mPendingWakeups.getAndIncrement() > 0) {
            return;
        }
        int handledWakeups;
        do {
            handledWakeups = mPendingWakeups.get();
            sendAvailable();
        } while (mPendingWakeups.addAndGet(-handledWakeups) != 0);
    }

    private void sendAvailable() {
        while (!mStopped) {
            if (!mStream.writable()) {
                mStream.onWritable(this::scheduleSend);
                return;
            }
            PeerMessage message = mReader.poll();
            if (message == null) {
                return;
            }
            mStream.send(message);
        }
    }
}
