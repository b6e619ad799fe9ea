package org.heathercourse.daemon.call;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.heathercourse.core.model.Usage;

/**
 * Writes answers in the chat-completions form. The bytes depend only on the call and the pieces, so
 * that a call that runs again after a takeover yields the same bytes. Immutable.
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

    byte[] first() {
        ObjectNode delta = JSON.objectNode().put("role", "assistant").put("content", "");
        return event(chunk(delta, null));
    }

    byte[] piece(String text) {
        return event(chunk(JSON.objectNode().put("content", text), null));
    }

    byte[] last(String finishReason, Usage usage, boolean includeUsage) {
        StringBuilder out = new StringBuilder();
        out.append("data: ").append(chunk(JSON.objectNode(), finishReason)).append("\n\n");
        if (includeUsage) {
            ObjectNode chunk = root("chat.completion.chunk");
            chunk.putArray("choices");
            chunk.set("usage", usage(usage));
            out.append("data: ").append(chunk).append("\n\n");
        }
        out.append("data: [DONE]\n\n");
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }

    byte[] whole(String text, String finishReason, Usage usage) {
        ObjectNode root = root("chat.completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", finishReason);
        root.set("usage", usage(usage));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode chunk(ObjectNode delta, String finishReason) {
        ObjectNode chunk = root("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.set("delta", delta);
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    private ObjectNode root(String object) {
        return JSON.objectNode()
                .put("id", mId)
                .put("object", object)
                .put("created", mCreatedSeconds)
                .put("model", mModel);
    }

    private static ObjectNode usage(Usage usage) {
        ObjectNode node =
                JSON.objectNode()
                        .put("prompt_tokens", usage.promptTokens())
                        .put("completion_tokens", usage.completionTokens())
                        .put("total_tokens", usage.totalTokens());
        node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
        return node;
    }

    private static byte[] event(ObjectNode node) {
        return ("data: " + node + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
