package org.heathercourse.daemon.call;

import java.io.InputStream;
import javax.inject.Inject;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;

/**
 * Entry point for calls of callers: runs ephemeral calls at this daemon and passes calls of
 * programs to the owner of the program. Safe for use by several threads.
 */
public final class CallRouter {
    private final CallExecutor mExecutor;
    private final PeerNetwork mNetwork;
    private final ShardDirectory mShards;
    private final ConfigSource mConfig;
    private final CallSettings mSettings;
    private final Ticker mTicker;

    @Inject
    public CallRouter(
            CallExecutor executor,
            PeerNetwork network,
            ShardDirectory shards,
            ConfigSource config,
            CallSettings settings,
            Ticker ticker) {
        mExecutor = executor;
        mNetwork = network;
        mShards = shards;
        mConfig = config;
        mSettings = settings;
        mTicker = ticker;
    }

    /**
     * Opens a call of a program.
     *
     * @param request the call, with program and request identity
     * @param body its body
     * @return the answer
     */
    public Answer open(CallRequest request, byte[] body) {
        return new RoutedAnswer(this, request, body);
    }

    /**
     * Runs a call without a program at this daemon.
     *
     * @param request the call
     * @param body its body; null if it is streamed
     * @param stream its streamed body; null if it is not streamed
     * @return the answer; closing it cancels the call
     */
    public Answer openEphemeral(CallRequest request, byte[] body, InputStream stream) {
        return localAnswer(mExecutor.runEphemeral(request, body, stream));
    }

    /** Returns an answer that reads from a buffer of this daemon. */
    static Answer localAnswer(AnswerBuffer buffer) {
        AnswerBuffer.Reader reader = buffer.reader();
        return new Answer() {
            @Override
            public PeerMessage next(long timeoutMillis) throws InterruptedException {
                return reader.next(timeoutMillis);
            }

            @Override
            public void close() {
                buffer.cancel();
            }
        };
    }

    CallExecutor executor() {
        return mExecutor;
    }

    PeerNetwork network() {
        return mNetwork;
    }

    ShardDirectory shards() {
        return mShards;
    }

    ConfigSource config() {
        return mConfig;
    }

    CallSettings settings() {
        return mSettings;
    }

    Ticker ticker() {
        return mTicker;
    }
}
