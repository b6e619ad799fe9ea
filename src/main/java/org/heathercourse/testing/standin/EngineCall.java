package org.heathercourse.testing.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A call at an engine and its generated answer. Confined to the event loop of the engine. */
final class EngineCall {
    private static final String[] FILLER = {
        "warp", "weft", "beam", "reed", "heddle", "yarn", "cone", "creel", "lease", "sley"
    };

    /** Processing stage of a call. */
    enum Stage {
        QUEUED,
        PREFILL,
        DECODE,
        /** The client disconnected; the generated tokens are retained for a resume. */
        SUSPENDED,
        DONE
    }

    final String mCallId;
    final String mSession;
    final Prompt mPrompt;
    final int mPriority;
    final long mSubmissionNumber;
    Stage mStage = Stage.QUEUED;
    Exchange mExchange;
    long mNextEventNanos;
    long mAdmittedNanos;
    long mCachedTokens;
    long mPrefillTokens;
    long mResumeExpiresAtMillis = Long.MAX_VALUE;
    boolean mHeadSent;

    private final String mModel;
    private boolean mStream;
    private final int mTotalTokens;
    private final String mFinishReason;
    private final int mMarkerTokens;
    private int mGeneratedTokens;
    private int mSentTokens;

    EngineCall(
            String callId,
            String session,
            Prompt prompt,
            int priority,
            long submissionNumber,
            String model,
            int maxTokens) {
        mCallId = callId;
        mSession = session;
        mPrompt = prompt;
        mPriority = priority;
        mSubmissionNumber = submissionNumber;
        mModel = model;
        mMarkerTokens = prompt.program() == null ? 2 : 4;
        int requestedTokens = mMarkerTokens + prompt.outputWords();
        mTotalTokens = Math.min(requestedTokens, maxTokens);
        mFinishReason = requestedTokens > maxTokens ? "length" : "stop";
    }

    int generatedTokens() {
        return mGeneratedTokens;
    }

    boolean isFullyGenerated() {
        return mGeneratedTokens >= mTotalTokens;
    }

    void generate(long tokens) {
        mGeneratedTokens = (int) Math.min(mTotalTokens, mGeneratedTokens + tokens);
    }

    /** Connects a client that receives the answer from the token {@code fromToken} on. */
    void attach(Exchange exchange, boolean stream, int fromToken) {
        mStream = stream;
        mExchange = exchange;
        mSentTokens = Math.min(fromToken, mTotalTokens);
        mGeneratedTokens = Math.max(mGeneratedTokens, mSentTokens);
        mHeadSent = false;
    }

    /** Returns a token of the answer, with a leading blank unless it is the first one. */
    String token(int index) {
        String separator = index == 0 ? "" : " ";
        String digest = "digest=" + Long.toHexString(mPrompt.hash()) + "]]";
        if (index >= mMarkerTokens) {
            long wordHash = mPrompt.hash() + index * 0x9e3779b97f4a7c15L;
            return separator + FILLER[(int) Math.floorMod(wordHash >>> 17, (long) FILLER.length)];
        }
        if (index == 0) {
            return "[[answer";
        }
        if (index == mMarkerTokens - 1) {
            return separator + digest;
        }
        return separator + (index == 1 ? "program=" + mPrompt.program() : "turn=" + mPrompt.turn());
    }

    /** Returns the text generated so far. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < mGeneratedTokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    /** Streams the generated tokens that were not sent yet. */
    void flush() {
        if (mExchange == null || !mStream) {
            return;
        }
        if (!mHeadSent) {
            mExchange.startStream("text/event-stream");
            mHeadSent = true;
        }
        StringBuilder events = new StringBuilder();
        while (mSentTokens < mGeneratedTokens) {
            ObjectNode chunk = chunk();
            chunk.withArray("choices")
                    .addObject()
                    .put("index", 0)
                    .putNull("finish_reason")
                    .putObject("delta")
                    .put("content", token(mSentTokens));
            events.append(event(chunk));
            mSentTokens++;
        }
        if (events.length() > 0) {
            mExchange.write(events.toString());
        }
    }

    /** Sends the whole answer, or the end of a streamed one, and detaches the client. */
    void finish() {
        if (mExchange == null) {
            return;
        }
        if (!mStream) {
            ObjectNode json = body("chat.completion");
            ObjectNode choice = json.withArray("choices").addObject();
            choice.put("index", 0).put("finish_reason", mFinishReason);
            choice.putObject("message").put("role", "assistant").put("content", text());
            json.set("usage", usage());
            mExchange.reply(200, json);
        } else {
            flush();
            ObjectNode end = chunk();
            ObjectNode choice = end.withArray("choices").addObject();
            choice.put("index", 0).put("finish_reason", mFinishReason).putObject("delta");
            ObjectNode last = chunk();
            last.putArray("choices");
            last.set("usage", usage());
            mExchange.write(event(end) + event(last) + "data: [DONE]\n\n");
            mExchange.endStream();
        }
        mExchange = null;
    }

    private ObjectNode usage() {
        ObjectNode usage = Exchange.JSON.createObjectNode();
        usage.put("prompt_tokens", mPrompt.tokens());
        usage.put("completion_tokens", mGeneratedTokens);
        usage.put("total_tokens", mPrompt.tokens() + mGeneratedTokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", mCachedTokens);
        return usage;
    }

    private ObjectNode chunk() {
        return body("chat.completion.chunk");
    }

    private ObjectNode body(String type) {
        ObjectNode json = Exchange.JSON.createObjectNode();
        json.put("id", mCallId).put("object", type).put("created", 0).put("model", mModel);
        return json;
    }

    private static String event(ObjectNode json) {
        try {
            return "data: " + Exchange.JSON.writeValueAsString(json) + "\n\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be serialized", e);
        }
    }
}
