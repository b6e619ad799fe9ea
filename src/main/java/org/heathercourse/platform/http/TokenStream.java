package org.heathercourse.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;
import okio.BufferedSource;
import org.heathercourse.core.model.Usage;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetFailure;

/**
 * Reads the server-sent events of one generated answer and passes them to a listener. Either {@code
 * onComplete} or {@code onFailure} of the listener is called, exactly once.
 *
 * <p>Only {@link #cancel()} may be called by any thread; the events are read on one thread of the
 * transport.
 */
final class TokenStream implements EngineClient.Call, Callback {
    private static final EventLog LOG = EventLog.of(TokenStream.class);

    private final Call mCall;
    private final HttpTransport.SentTracker mTracker;
    private final EngineClient.Listener mListener;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private volatile boolean mCancelled;
    private int mNextIndex;
    private String mFinishReason = "stop";
    private Usage mUsage = Usage.NONE;

    TokenStream(
            Call call,
            HttpTransport.SentTracker tracker,
            int firstIndex,
            EngineClient.Listener listener) {
        mCall = call;
        mTracker = tracker;
        mNextIndex = firstIndex;
        mListener = listener;
    }

    void start() {
        mCall.enqueue(this);
    }

    @Override
    public void cancel() {
        mCancelled = true;
        mCall.cancel();
    }

    @Override
    public void onFailure(Call call, IOException error) {
        fail(failureOf(error));
    }

    @Override
    public void onResponse(Call call, Response response) {
        try (response) {
            if (response.code() != 200) {
                byte[] body = response.body().bytes();
                fail(
                        failureOfStatus(
                                new HttpTransport.Reply(
                                        response.code(), body, HttpTransport.isFramed(response))));
                return;
            }
            read(response.body().source());
        } catch (IOException e) {
            fail(failureOf(e));
        } catch (RuntimeException e) {
            LOG.error("stream_listener_failed", e);
            mCall.cancel();
            fail(new TargetFailure(TargetFailure.Kind.BROKEN, 0, "listener failed: " + e));
        }
    }

    private void read(BufferedSource source) throws IOException {
        String line = source.readUtf8Line();
        while (line != null) {
            if (line.startsWith("data:")) {
                String data = line.substring("data:".length()).strip();
                if (data.equals("[DONE]")) {
                    complete();
                    return;
                }
                if (!onChunk(HttpTransport.JSON.readTree(data))) {
                    return;
                }
            }
            line = source.readUtf8Line();
        }
        fail(
                new TargetFailure(
                        mCancelled ? TargetFailure.Kind.CANCELLED : TargetFailure.Kind.BROKEN,
                        200,
                        "the stream ended early, expected [DONE] at its end"));
    }

    private boolean onChunk(JsonNode chunk) {
        if (chunk.hasNonNull("error")) {
            String message = chunk.path("error").path("message").asText();
            fail(new TargetFailure(TargetFailure.Kind.BROKEN, 200, message));
            return false;
        }
        JsonNode choice = chunk.path("choices").path(0);
        String text = choice.path("delta").path("content").asText("");
        if (!text.isEmpty() && !mCancelled) {
            mListener.onToken(mNextIndex, text);
            mNextIndex++;
        }
        if (choice.hasNonNull("finish_reason")) {
            mFinishReason = choice.get("finish_reason").asText();
        }
        if (chunk.hasNonNull("usage")) {
            JsonNode usage = chunk.get("usage");
            mUsage =
                    new Usage(
                            usage.path("prompt_tokens").asLong(),
                            usage.path("completion_tokens").asLong(),
                            usage.path("prompt_tokens_details").path("cached_tokens").asLong());
        }
        return true;
    }

    private void complete() {
        if (mCancelled) {
            // Tokens received after the cancellation were not passed to the listener.
            fail(new TargetFailure(TargetFailure.Kind.CANCELLED, 200, "cancelled by the caller"));
        } else if (mEnded.compareAndSet(false, true)) {
            mListener.onComplete(mFinishReason, mUsage);
        }
    }

    private void fail(TargetFailure failure) {
        if (mEnded.compareAndSet(false, true)) {
            mListener.onFailure(failure);
        }
    }

    private TargetFailure failureOf(IOException error) {
        if (mCancelled) {
            return new TargetFailure(TargetFailure.Kind.CANCELLED, 0, "cancelled by the caller");
        }
        return TargetFailures.fromException(error, mTracker);
    }

    /** Maps a response with an error status. */
    static TargetFailure failureOfStatus(HttpTransport.Reply reply) {
        String message = "status " + reply.status();
        boolean reportsNotRun = false;
        try {
            JsonNode error = reply.json().path("error");
            reportsNotRun = error.path("not_run").asBoolean(false);
            message += " " + error.path("message").asText();
        } catch (IOException e) {
            message += " with a body that is not JSON: " + e.getMessage();
        }
        return TargetFailures.fromStatus(reply.status(), reportsNotRun, message);
    }
}
