package org.heathercourse.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** A call of this daemon to itself. Thread-safe. */
final class LocalCall {
    private final Side mOpeningSide;
    private final Side mAcceptingSide;

    /**
     * Creates a call.
     *
     * @param executor single-threaded, so that messages keep their order
     * @param listener receives the messages of the accepting side
     */
    LocalCall(Executor executor, Consumer<PeerMessage> listener) {
        mOpeningSide = new Side(executor);
        mAcceptingSide = new Side(executor);
        mOpeningSide.mOther = mAcceptingSide;
        mAcceptingSide.mOther = mOpeningSide;
        mOpeningSide.onMessage(listener);
    }

    PeerNetwork.CallStream openingSide() {
        return mOpeningSide;
    }

    PeerNetwork.CallStream acceptingSide() {
        return mAcceptingSide;
    }

    private static final class Side implements PeerNetwork.CallStream {
        private final Executor mExecutor;
        private final List<PeerMessage> mBuffered = new ArrayList<>();
        private Side mOther;
        private Consumer<PeerMessage> mListener;

        Side(Executor executor) {
            mExecutor = executor;
        }

        @Override
        public void send(PeerMessage message) {
            mExecutor.execute(() -> mOther.receive(message));
        }

        private synchronized void receive(PeerMessage message) {
            if (mListener == null) {
                mBuffered.add(message);
            } else {
                mListener.accept(message);
            }
        }

        @Override
        public synchronized void onMessage(Consumer<PeerMessage> listener) {
            mListener = listener;
            mBuffered.forEach(listener);
            mBuffered.clear();
        }

        @Override
        public void onLinkLost(Runnable action) {
            // Both sides are in one process, so there is no link that could break.
        }
    }
}
