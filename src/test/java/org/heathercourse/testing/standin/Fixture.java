package org.heathercourse.testing.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.platform.http.HttpEngineClient;
import org.heathercourse.platform.http.HttpSettings;
import org.heathercourse.platform.http.HttpTransport;

/** Stand-ins on free ports and the HTTP adapters for them. */
final class Fixture implements AutoCloseable {
    /** Timeout of exchanges that are expected to time out, in milliseconds. */
    static final long SHORT_MILLIS = 700;

    final StandIns mStandIns;
    final HttpTransport mTransport;
    final HttpEngineClient mEngines;

    /**
     * Timeout between tokens in milliseconds; short only in calls that are expected to time out.
     */
    long mTokenTimeoutMillis = 10_000;

    Fixture(EngineSettings engine) {
        mStandIns =
                StandIns.start(
                        StandInSettings.builder()
                                .engine("engine-1", 0, true)
                                .engine("engine-2", 0, false)
                                .plain("plain-1", 0)
                                .engineSettings(engine)
                                .vmListLagMillis(0)
                                .build());
        mTransport =
                new HttpTransport(
                        HttpSettings.builder()
                                .readTimeoutMillis(10_000)
                                .callTimeoutMillis(10_000)
                                .build());
        mEngines = new HttpEngineClient(mTransport);
    }

    TargetAddress target(String id) {
        return new TargetAddress(new TargetId(id), mStandIns.baseUrl(id));
    }

    /** Starts a call in the session {@code session-1}. */
    Answer start(
            String engine, String callId, int resumeFrom, int priority, List<ChatMessage> chat) {
        Answer answer = new Answer();
        answer.mCall =
                mEngines.generate(
                        target(engine),
                        new EngineClient.GenerateRequest(
                                "model-1",
                                chat,
                                1_000_000,
                                "session-1",
                                callId,
                                resumeFrom,
                                priority,
                                1,
                                mTokenTimeoutMillis,
                                ""),
                        answer);
        return answer;
    }

    /** Runs a call and waits for its end. */
    Answer run(String engine, String callId, List<ChatMessage> chat) throws Exception {
        Answer answer = start(engine, callId, 0, 0, chat);
        answer.mEnd.get(20, TimeUnit.SECONDS);
        return answer;
    }

    static ChatMessage user(String program, int turn, long budget, int out) {
        return new ChatMessage(
                "user",
                "[[program=%s turn=%d budget=%d out=%d]] plan the warp"
                        .formatted(program, turn, budget, out));
    }

    /** Returns a copy of a conversation with an answer and the next user message. */
    static List<ChatMessage> withNextTurn(List<ChatMessage> chat, String answer, ChatMessage user) {
        List<ChatMessage> longer = new ArrayList<>(chat);
        longer.add(new ChatMessage("assistant", answer));
        longer.add(user);
        return longer;
    }

    @Override
    public void close() {
        mTransport.close();
        mStandIns.close();
    }

    /** Collects the tokens and the outcome of a call. */
    static final class Answer implements EngineClient.Listener {
        final CompletableFuture<String> mEnd = new CompletableFuture<>();
        final CountDownLatch mFirstTokens = new CountDownLatch(5);
        final StringBuffer mText = new StringBuffer();
        volatile int mFirstIndex = -1;
        volatile int mLastIndex = -1;
        volatile Usage mUsage;
        volatile EngineClient.Call mCall;

        @Override
        public void onToken(int index, String text) {
            if (mFirstIndex < 0) {
                mFirstIndex = index;
            }
            mLastIndex = index;
            mText.append(text);
            mFirstTokens.countDown();
        }

        @Override
        public void onComplete(String finishReason, Usage usage) {
            mUsage = usage;
            mEnd.complete(finishReason);
        }

        @Override
        public void onFailure(TargetFailure failure) {
            mEnd.complete(failure.kind().name());
        }
    }
}
