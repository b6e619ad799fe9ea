package org.heathercourse.daemon.call;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.heathercourse.core.model.Usage;

/**
 * Formats answers as chat completions. The bytes depend only on the call and its pieces, so that a
 * call that is repeated after a takeover produces the same bytes. Immutable.
 */
final class ChatFormat {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final String mId;
    private final String mModel;
    private final long mCreatedSeconds;

    ChatFormat(String id, String model, long createdSeconds) {
        mId = "chatcmpl-" + id;
        mModel = model;
        mCreatedSeconds = createdSeconds;
    }

    /** Returns the first event of a stream, which names the role. */
    byte[] firstEvent() {
        ObjectNode delta = JSON.objectNode().put("role", "assistant").put("content", "");
        return toEvent(newChunk(delta, null));
    }

    /** Returns the event of one piece. */
    byte[] pieceEvent(String text) {
        return toEvent(newChunk(JSON.objectNode().put("content", text), null));
    }

    /** Returns the final events of a stream: finish reason, usage on request, end marker. */
    byte[] finalEvents(String finishReason, Usage usage, boolean includeUsage) {
        StringBuilder out = new StringBuilder();
        out.append("data: ").append(newChunk(JSON.objectNode(), finishReason)).append("\n\n");
        if (includeUsage) {
            ObjectNode chunk = newRoot("chat.completion.chunk");
            chunk.putArray("choices");
            chunk.set("usage", toJson(usage));
            out.append("data: ").append(chunk).append("\n\n");
        }
        out.append("data: [DONE]\n\n");
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a complete answer that is not streamed. */
    byte[] completion(String text, String finishReason, Usage usage) {
        ObjectNode root = newRoot("chat.completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", finishReason);
        root.set("usage", toJson(usage));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode newChunk(ObjectNode delta, String finishReason) {
        ObjectNode chunk = newRoot("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.set("delta", delta);
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    private ObjectNode newRoot(String object) {
        return JSON.objectNode()
                .put("id", mId)
                .put("object", object)
                .put("created", mCreatedSeconds)
                .put("model", mModel);
    }

    private static ObjectNode toJson(Usage usage) {
        ObjectNode node =
                JSON.objectNode()
                        .put("prompt_tokens", usage.promptTokens())
                        .put("completion_tokens", usage.completionTokens())
                        .put("total_tokens", usage.totalTokens());
        node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
        return node;
    }

    private static byte[] toEvent(ObjectNode node) {
        return ("data: " + node + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
