package org.heathercourse.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** A call of this daemon to itself. Safe for use by several threads. */
final class LocalCall {
    private final Side mOpening;
    private final Side mAccepting;

    /**
     * Creates a call.
     *
     * @param executor a single thread, which keeps the order of messages
     * @param listener receives what the accepting side sends
     */
    LocalCall(Executor executor, Consumer<PeerMessage> listener) {
        mOpening = new Side(executor);
        mAccepting = new Side(executor);
        mOpening.mOther = mAccepting;
        mAccepting.mOther = mOpening;
        mOpening.onMessage(listener);
    }

    PeerNetwork.CallStream opening() {
        return mOpening;
    }

    PeerNetwork.CallStream accepting() {
        return mAccepting;
    }

    private static final class Side implements PeerNetwork.CallStream {
        private final Executor mExecutor;
        private final List<PeerMessage> mEarly = new ArrayList<>();
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
                mEarly.add(message);
            } else {
                mListener.accept(message);
            }
        }

        @Override
        public synchronized void onMessage(Consumer<PeerMessage> listener) {
            mListener = listener;
            mEarly.forEach(listener);
            mEarly.clear();
        }

        @Override
        public void onLinkLost(Runnable action) {
            // Both sides live in one process, so the link cannot break.
        }
    }
}
