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
 * Buffer between the producer of one answer and its readers: a head, chunks and one final message.
 *
 * <p>A retained answer keeps all messages, so that any number of readers can read it from the
 * start; its size is limited. A windowed answer has one reader, drops messages once they are read,
 * and blocks the producer while the reader is a full window behind. Safe for use by several
 * threads.
 */
public final class AnswerBuffer {
    /** Maximum size of a retained answer, in bytes. */
    static final long MAX_RETAINED_BYTES = 16L * 1024 * 1024;

    /** Maximum number of unread bytes of a windowed answer before its producer blocks. */
    static final long WINDOW_BYTES = 1024 * 1024;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final boolean mRetained;
    private final ArrayList<PeerMessage> mRetainedMessages = new ArrayList<>();
    private final ArrayDeque<PeerMessage> mWindowMessages = new ArrayDeque<>();
    private final List<Runnable> mListeners = new ArrayList<>();
    private long mBufferedBytes;
    private boolean mHasHead;
    private boolean mEnded;
    private boolean mCancelled;
    private Runnable mCancelAction = () -> {};

    private AnswerBuffer(boolean retained) {
        mRetained = retained;
    }

    /** Creates an answer that keeps all messages for any number of readers. */
    static AnswerBuffer retained() {
        return new AnswerBuffer(true);
    }

    /** Creates an answer for one reader, which blocks its producer while the window is full. */
    static AnswerBuffer windowed() {
        return new AnswerBuffer(false);
    }

    /** Creates an answer that consists of an error. */
    static AnswerBuffer failed(HeathercourseException error) {
        AnswerBuffer buffer = new AnswerBuffer(true);
        buffer.fail(error);
        return buffer;
    }

    // Called by the producer

    /**
     * Adds the head.
     *
     * @throws HeathercourseException of kind {@code CANCELLED} if the answer has been cancelled
     */
    void head(int status, Map<String, List<String>> headers) {
        add(new CallHead(status, headers), 0);
    }

    /**
     * Adds a chunk; blocks while the window of a windowed answer is full.
     *
     * @throws HeathercourseException of kind {@code CANCELLED} if the answer has been cancelled, of
     *     kind {@code TARGET_FAILED} if a retained answer exceeds its maximum size
     */
    void append(byte[] bytes) {
        if (bytes.length > 0) {
            add(new CallChunk(bytes), bytes.length);
        }
    }

    /**
     * Ends the answer.
     *
     * @param durability durability of the recorded outcome, or none
     * @throws HeathercourseException of kind {@code CANCELLED} if the answer has been cancelled
     */
    void end(String durability) {
        add(new CallEnd(durability), 0);
    }

    /** Ends the answer with an error; no effect if it has ended already. */
    void fail(HeathercourseException error) {
        mLock.lock();
        try {
            if (!mEnded) {
                enqueue(PeerErrors.toMessage(error));
            }
        } finally {
            mLock.unlock();
        }
        notifyListeners();
    }

    /** Returns whether the answer has no head yet, so that an attempt can still be repeated. */
    boolean lacksHead() {
        mLock.lock();
        try {
            return !mHasHead;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the final message has been added. */
    boolean ended() {
        mLock.lock();
        try {
            return mEnded;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether the reader has cancelled the answer. */
    boolean cancelled() {
        mLock.lock();
        try {
            return mCancelled;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Sets the action that is run once when a windowed answer is cancelled; runs it at once if the
     * answer has been cancelled already.
     */
    void onCancel(Runnable action) {
        boolean alreadyCancelled;
        mLock.lock();
        try {
            mCancelAction = action;
            alreadyCancelled = mCancelled;
        } finally {
            mLock.unlock();
        }
        if (alreadyCancelled) {
            action.run();
        }
    }

    private void add(PeerMessage message, int bytes) {
        mLock.lock();
        try {
            if (mEnded) {
                return;
            }
            if (mRetained && mBufferedBytes + bytes > MAX_RETAINED_BYTES) {
                throw new HeathercourseException(
                        ErrorKind.TARGET_FAILED,
                        "the answer is larger than " + MAX_RETAINED_BYTES + " bytes",
                        "ask for a smaller answer, or call without program and identity");
            }
            while (!mRetained
                    && mBufferedBytes > 0
                    && mBufferedBytes + bytes > WINDOW_BYTES
                    && !mCancelled) {
                mChanged.awaitUninterruptibly();
            }
            if (mCancelled) {
                throw new HeathercourseException(
                        ErrorKind.CANCELLED,
                        "the caller closed the answer before its end",
                        "repeat the call");
            }
            mBufferedBytes += bytes;
            enqueue(message);
        } finally {
            mLock.unlock();
        }
        notifyListeners();
    }

    private void enqueue(PeerMessage message) {
        mHasHead |= message instanceof CallHead;
        mEnded = message instanceof CallEnd || message instanceof PeerMessage.ErrorReply;
        if (mRetained) {
            mRetainedMessages.add(message);
        } else {
            mWindowMessages.add(message);
        }
        mChanged.signalAll();
    }

    private void notifyListeners() {
        List<Runnable> listeners;
        mLock.lock();
        try {
            listeners = List.copyOf(mListeners);
            if (mEnded) {
                mListeners.clear();
            }
        } finally {
            mLock.unlock();
        }
        listeners.forEach(Runnable::run);
    }

    // Called by readers

    /**
     * Returns a reader that starts at the first message. A windowed answer supports one reader
     * only.
     */
    public Reader reader() {
        return new Reader();
    }

    /**
     * Adds a listener that is run, on any thread, after each added message, and once immediately.
     */
    void onReadable(Runnable listener) {
        mLock.lock();
        try {
            if (!mEnded) {
                mListeners.add(listener);
            }
        } finally {
            mLock.unlock();
        }
        listener.run();
    }

    /**
     * Cancels a windowed answer; its producer then fails. No effect on retained or ended answers.
     */
    public void cancel() {
        Runnable action = () -> {};
        mLock.lock();
        try {
            if (!mRetained && !mCancelled && !mEnded) {
                mCancelled = true;
                action = mCancelAction;
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
        action.run();
    }

    /** Reads an answer from its first message. Not safe for use by several threads. */
    public final class Reader {
        private int mNextIndex;

        private Reader() {}

        /** Returns the next message, or null if none is available. */
        public PeerMessage poll() {
            mLock.lock();
            try {
                return dequeue();
            } finally {
                mLock.unlock();
            }
        }

        /**
         * Waits for the next message.
         *
         * @param timeoutMillis maximum time to wait, in milliseconds
         * @return the message, or null if none arrived in time
         * @throws InterruptedException if the thread is interrupted
         */
        public PeerMessage next(long timeoutMillis) throws InterruptedException {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            mLock.lock();
            try {
                PeerMessage message = dequeue();
                while (message == null && remainingNanos > 0) {
                    remainingNanos = mChanged.awaitNanos(remainingNanos);
                    message = dequeue();
                }
                return message;
            } finally {
                mLock.unlock();
            }
        }

        private PeerMessage dequeue() {
            if (mRetained) {
                return mNextIndex < mRetainedMessages.size()
                        ? mRetainedMessages.get(mNextIndex++)
                        : null;
            }
            PeerMessage message = mWindowMessages.poll();
            if (message instanceof CallChunk chunk) {
                mBufferedBytes -= chunk.bytes().length;
                mChanged.signalAll();
            }
            return message;
        }
    }
}
