package org.heathercourse.daemon.call;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ChatMessage;

/**
 * The body of a chat-completions request. Immutable.
 *
 * @param model name of the model
 * @param messages messages that the caller sent
 * @param maxTokens most tokens to generate; 0 if the caller names no number
 * @param stream whether the answer is a stream of events
 * @param includeUsage whether a stream ends with the tokens used
 * @param extraJson other fields, passed on to the engine; empty if there are none
 */
public record ChatCompletionRequest(
        String model,
        List<ChatMessage> messages,
        int maxTokens,
        boolean stream,
        boolean includeUsage,
        String extraJson) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> ROLES =
            Set.of("system", "developer", "user", "assistant", "tool");
    private static final List<String> OWN_FIELDS =
            List.of(
                    "model",
                    "messages",
                    "max_tokens",
                    "max_completion_tokens",
                    "stream",
                    "stream_options");

    /** Copies the list. */
    public ChatCompletionRequest {
        messages = List.copyOf(messages);
    }

    /**
     * Reads a body.
     *
     * @param body the JSON text
     * @return the call
     * @throws HeathercourseException of kind BAD_REQUEST that says where the text is wrong
     */
    public static ChatCompletionRequest parse(byte[] body) {
        JsonNode root = readTree(body);
        if (!root.isObject()) {
            throw bad("the body is " + root.getNodeType() + ", expected a JSON object");
        }
        String model = root.path("model").asText("");
        if (!root.path("model").isTextual() || model.isEmpty()) {
            throw bad("field \"model\" is missing, expected the name of a model");
        }
        JsonNode limit =
                root.hasNonNull("max_completion_tokens")
                        ? root.get("max_completion_tokens")
                        : root.path("max_tokens");
        boolean named = !limit.isMissingNode() && !limit.isNull();
        if (named && (!limit.canConvertToInt() || !limit.isNumber() || limit.asInt() < 1)) {
            throw bad("field \"max_tokens\" is " + limit + ", expected a number from 1");
        }
        return new ChatCompletionRequest(
                model,
                messages(root.path("messages")),
                named ? limit.asInt() : 0,
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                extra((ObjectNode) root));
    }

    private static JsonNode readTree(byte[] body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            if (root == null || root.isMissingNode()) {
                throw bad("the body is empty, expected a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            String where =
                    at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
            throw bad("the body is no JSON" + where + ": " + firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw bad("the body cannot be read");
        }
    }

    private static String firstLine(String text) {
        String line = text == null ? "" : text.lines().findFirst().orElse("");
        return line.length() > 200 ? line.substring(0, 200) : line;
    }

    private static List<ChatMessage> messages(JsonNode node) {
        if (!node.isArray() || node.isEmpty()) {
            throw bad("field \"messages\" is missing or empty, expected a list of messages");
        }
        List<ChatMessage> messages = new ArrayList<>(node.size());
        for (JsonNode message : node) {
            String where = "messages[" + messages.size() + "]";
            String role = message.path("role").asText("");
            if (!ROLES.contains(role)) {
                throw bad(where + ".role is \"" + role + "\", expected one of " + ROLES);
            }
            messages.add(new ChatMessage(role, content(message.path("content"), where)));
        }
        return messages;
    }

    private static String content(JsonNode node, String where) {
        if (node.isTextual()) {
            return node.asText();
        }
        if (node.isMissingNode() || node.isNull()) {
            return "";
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : node) {
            if (!part.path("type").asText("").equals("text") || !part.path("text").isTextual()) {
                throw bad(where + ".content has a part that is not text, expected text");
            }
            text.append(part.path("text").asText());
        }
        if (!node.isArray()) {
            throw bad(where + ".content is " + node.getNodeType() + ", expected text");
        }
        return text.toString();
    }

    private static String extra(ObjectNode root) {
        ObjectNode rest = root.deepCopy();
        rest.remove(OWN_FIELDS);
        return rest.isEmpty() ? "" : rest.toString();
    }

    /** Returns an estimate of the tokens of a conversation: its words. */
    static long estimateTokens(List<ChatMessage> messages) {
        long words = 0;
        for (ChatMessage message : messages) {
            words += words(message.content());
        }
        return words;
    }

    static long words(String text) {
        long words = 0;
        boolean inside = false;
        for (int i = 0; i < text.length(); i++) {
            boolean blank = Character.isWhitespace(text.charAt(i));
            if (!blank && !inside) {
                words++;
            }
            inside = !blank;
        }
        return words;
    }

    private static HeathercourseException bad(String message) {
        return new HeathercourseException(
                ErrorKind.BAD_REQUEST, message, "send a chat-completions request");
    }
}
