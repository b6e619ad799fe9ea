package org.heathercourse.testing.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One call at an engine. Used by the event loop of the engine only. */
final class EngineCall {
    private static final String[] FILLER = {
        "warp", "weft", "beam", "reed", "heddle", "yarn", "cone", "creel", "lease", "sley"
    };

    /** Stage of a call. */
    enum Stage {
        QUEUED,
        PREFILL,
        DECODE,
        /** The client went away; the tokens so far are kept for a resume. */
        SUSPENDED,
        DONE
    }

    final String mCallId;
    final String mSession;
    final Prompt mPrompt;
    final int mPriority;
    final long mArrival;
    Stage mStage = Stage.QUEUED;
    Exchange mExchange;
    long mNextAtNanos;
    long mAdmittedNanos;
    long mCachedTokens;
    long mPrefillTokens;
    long mKeptUntilMillis = Long.MAX_VALUE;
    boolean mHeadSent;

    private final String mModel;
    private boolean mStream;
    private final int mTotal;
    private final String mFinishReason;
    private final int mHeadWords;
    private int mGenerated;
    private int mSent;

    EngineCall(
            String callId,
            String session,
            Prompt prompt,
            int priority,
            long arrival,
            String model,
            int maxTokens) {
        mCallId = callId;
        mSession = session;
        mPrompt = prompt;
        mPriority = priority;
        mArrival = arrival;
        mModel = model;
        mHeadWords = prompt.program() == null ? 2 : 4;
        int wanted = mHeadWords + prompt.out();
        mTotal = Math.min(wanted, maxTokens);
        mFinishReason = wanted > maxTokens ? "length" : "stop";
    }

    int generated() {
        return mGenerated;
    }

    boolean allGenerated() {
        return mGenerated >= mTotal;
    }

    void generate(long tokens) {
        mGenerated = (int) Math.min(mTotal, mGenerated + tokens);
    }

    /** Lets a client receive the answer from a token on. */
    void attach(Exchange exchange, boolean stream, int fromToken) {
        mStream = stream;
        mExchange = exchange;
        mSent = Math.min(fromToken, mTotal);
        mGenerated = Math.max(mGenerated, mSent);
        mHeadSent = false;
    }

    /** Returns a token of the answer, with the blank before it. */
    String token(int index) {
        String blank = index == 0 ? "" : " ";
        String digest = "digest=" + Long.toHexString(mPrompt.hash()) + "]]";
        if (index >= mHeadWords) {
            long pick = mPrompt.hash() + index * 0x9e3779b97f4a7c15L;
            return blank + FILLER[(int) Math.floorMod(pick >>> 17, (long) FILLER.length)];
        }
        if (index == 0) {
            return "[[answer";
        }
        if (index == mHeadWords - 1) {
            return blank + digest;
        }
        return blank + (index == 1 ? "program=" + mPrompt.program() : "turn=" + mPrompt.turn());
    }

    /** Returns the answer as far as it is generated. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < mGenerated; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    /** Sends the tokens that the client does not have yet. */
    void flush() {
        if (mExchange == null || !mStream) {
            return;
        }
        if (!mHeadSent) {
            mExchange.startStream("text/event-stream");
            mHeadSent = true;
        }
        StringBuilder events = new StringBuilder();
        while (mSent < mGenerated) {
            ObjectNode chunk = chunk();
            chunk.withArray("choices")
                    .addObject()
                    .put("index", 0)
                    .putNull("finish_reason")
                    .putObject("delta")
                    .put("content", token(mSent));
            events.append(event(chunk));
            mSent++;
        }
        if (events.length() > 0) {
            mExchange.write(events.toString());
        }
    }

    /** Sends the end of the answer. */
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
        usage.put("completion_tokens", mGenerated);
        usage.put("total_tokens", mPrompt.tokens() + mGenerated);
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
            throw new IllegalStateException("JSON tree could not be written", e);
        }
    }
}
