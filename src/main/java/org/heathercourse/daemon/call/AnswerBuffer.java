package org.heathercourse.daemon.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.peer.PeerErrors;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallHead;

/**
 * The answer of one call while it is being produced: a head, chunks and one last message.
 *
 * <p>A retained answer keeps everything, so that any number of readers can read it from its start;
 * its size is limited. A windowed answer has one reader, forgets what was read and makes the
 * producer wait for a slow reader. Safe for use by several threads.
 */
public final class AnswerBuffer {
    /** Largest retained answer in bytes. */
    static final long MAX_RETAINED_BYTES = 16L * 1024 * 1024;

    /** Bytes that the producer of a windowed answer may be ahead of its reader. */
    static final long WINDOW_BYTES = 1024 * 1024;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final boolean mRetained;
    private final ArrayList<PeerMessage> mEvents = new ArrayList<>();
    private final ArrayDeque<PeerMessage> mWindow = new ArrayDeque<>();
    private final List<Runnable> mListeners = new ArrayList<>();
    private long mBytes;
    private boolean mHasHead;
    private boolean mDone;
    private boolean mCancelled;
    private Runnable mCancelAction = () -> {};

    private AnswerBuffer(boolean retained) {
        mRetained = retained;
    }

    static AnswerBuffer retained() {
        return new AnswerBuffer(true);
    }

    static AnswerBuffer windowed() {
        return new AnswerBuffer(false);
    }

    static AnswerBuffer failed(HeathercourseException error) {
        AnswerBuffer buffer = new AnswerBuffer(true);
        buffer.fail(error);
        return buffer;
    }

    // Producer

    void head(int status, Map<String, List<String>> headers) {
        add(new CallHead(status, headers), 0);
    }

    void append(byte[] bytes) {
        if (bytes.length > 0) {
            add(new CallChunk(bytes), bytes.length);
        }
    }

    void end(String durability) {
        add(new CallEnd(durability), 0);
    }

    void fail(HeathercourseException error) {
        mLock.lock();
        try {
            if (!mDone) {
                put(PeerErrors.toMessage(error));
            }
        } finally {
            mLock.unlock();
        }
        notifyListeners();
    }

    /** Returns whether nothing of the answer is visible to readers yet. */
    boolean untouched() {
        mLock.lock();
        try {
            return !mHasHead;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the last message is there. */
    boolean ended() {
        mLock.lock();
        try {
            return mDone;
        } finally {
            mLock.unlock();
        }
    }

    boolean cancelled() {
        mLock.lock();
        try {
            return mCancelled;
        } finally {
            mLock.unlock();
        }
    }

    /** Sets what is run once when the reader of a windowed answer goes away. */
    void onCancel(Runnable action) {
        boolean now;
        mLock.lock();
        try {
            mCancelAction = action;
            now = mCancelled;
        } finally {
            mLock.unlock();
        }
        if (now) {
            action.run();
        }
    }

    private void add(PeerMessage message, int bytes) {
        mLock.lock();
        try {
            if (mDone) {
                return;
            }
            if (mRetained && mBytes + bytes > MAX_RETAINED_BYTES) {
                throw new HeathercourseException(
                        ErrorKind.TARGET_FAILED,
                        "the answer is larger than " + MAX_RETAINED_BYTES + " bytes",
                        "ask for a smaller answer, or call without program and identity");
            }
            while (!mRetained && mBytes > 0 && mBytes + bytes > WINDOW_BYTES && !mCancelled) {
                mChanged.awaitUninterruptibly();
            }
            if (mCancelled) {
                throw new HeathercourseException(
                        ErrorKind.CANCELLED, "the caller went away", "repeat the call");
            }
            mBytes += bytes;
            put(message);
        } finally {
            mLock.unlock();
        }
        notifyListeners();
    }

    private void put(PeerMessage message) {
        mHasHead |= message instanceof CallHead;
        mDone = message instanceof CallEnd || message instanceof PeerMessage.ErrorReply;
        if (mRetained) {
            mEvents.add(message);
        } else {
            mWindow.add(message);
        }
        mChanged.signalAll();
    }

    private void notifyListeners() {
        List<Runnable> listeners;
        mLock.lock();
        try {
            listeners = List.copyOf(mListeners);
            if (mDone) {
                mListeners.clear();
            }
        } finally {
            mLock.unlock();
        }
        listeners.forEach(Runnable::run);
    }

    // Readers

    /** Returns a reader from the start; a windowed answer has one reader only. */
    public Reader reader() {
        return new Reader();
    }

    /** Adds a listener that is run, on any thread, whenever more can be read. */
    void onMore(Runnable listener) {
        mLock.lock();
        try {
            if (!mDone) {
                mListeners.add(listener);
            }
        } finally {
            mLock.unlock();
        }
        listener.run();
    }

    /** Tells that the reader went away. Ends the production of windowed answers only. */
    public void cancel() {
        Runnable action = () -> {};
        mLock.lock();
        try {
            if (!mRetained && !mCancelled && !mDone) {
                mCancelled = true;
                action = mCancelAction;
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
        action.run();
    }

    /** Reads an answer from its start. Not safe for several threads. */
    public final class Reader {
        private int mNext;

        private Reader() {}

        /** Returns the next message, or null if there is none at present. */
        public PeerMessage poll() {
            mLock.lock();
            try {
                return take();
            } finally {
                mLock.unlock();
            }
        }

        /**
         * Waits for the next message.
         *
         * @param timeoutMillis longest time to wait in milliseconds
         * @return the message, or null if none came in time
         * @throws InterruptedException if the thread is interrupted
         */
        public PeerMessage next(long timeoutMillis) throws InterruptedException {
            long left = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            mLock.lock();
            try {
                PeerMessage message = take();
                while (message == null && left > 0) {
                    left = mChanged.awaitNanos(left);
                    message = take();
                }
                return message;
            } finally {
                mLock.unlock();
            }
        }

        private PeerMessage take() {
            if (mRetained) {
                return mNext < mEvents.size() ? mEvents.get(mNext++) : null;
            }
            PeerMessage message = mWindow.poll();
            if (message instanceof CallChunk chunk) {
                mBytes -= chunk.bytes().length;
                mChanged.signalAll();
            }
            return message;
        }
    }
}
