package org.heathercourse.daemon.call;

import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork.CallStream;

/**
 * Sends an answer over a link as fast as the link takes it. Runs on whichever thread brings news,
 * one at a time.
 */
final class AnswerPump {
    private final AnswerBuffer mAnswer;
    private final AnswerBuffer.Reader mReader;
    private final CallStream mStream;
    private final AtomicInteger mNews = new AtomicInteger();
    private volatile boolean mStopped;

    AnswerPump(AnswerBuffer answer, CallStream stream) {
        mAnswer = answer;
        mReader = answer.reader();
        mStream = stream;
    }

    void start() {
        mStream.onLinkLost(this::stop);
        mStream.onMessage(
                message -> {
                    if (message instanceof PeerMessage.CallCancel) {
                        stop();
                    }
                });
        mAnswer.onMore(this::wake);
    }

    private void stop() {
        mStopped = true;
        mAnswer.cancel();
    }

    private void wake() {
        if (mNews.getAndIncrement() > 0) {
            return;
        }
        int seen;
        do {
            seen = mNews.get();
            drain();
        } while (mNews.addAndGet(-seen) != 0);
    }

    private void drain() {
        while (!mStopped) {
            if (!mStream.writable()) {
                mStream.onWritable(this::wake);
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
