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
 * @param maxTokens maximum number of tokens to generate; 0 if the caller sets no limit
 * @param stream whether the answer is a stream of server-sent events
 * @param includeUsage whether a stream ends with the token usage
 * @param extraJson other fields as a JSON object, sent to the engine unchanged; empty if there are
 *     none
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
    private static final List<String> KNOWN_FIELDS =
            List.of(
                    "model",
                    "messages",
                    "max_tokens",
                    "max_completion_tokens",
                    "stream",
                    "stream_options");

    /** Copies the messages. */
    public ChatCompletionRequest {
        messages = List.copyOf(messages);
    }

    /**
     * Parses a body.
     *
     * @param body the JSON text
     * @return the request
     * @throws HeathercourseException of kind BAD_REQUEST that names the position or the field of
     *     the error
     */
    public static ChatCompletionRequest parse(byte[] body) {
        JsonNode root = readTree(body);
        if (!root.isObject()) {
            throw badRequest("the body is " + root.getNodeType() + ", expected a JSON object");
        }
        String model = root.path("model").asText("");
        if (!root.path("model").isTextual() || model.isEmpty()) {
            throw badRequest("field \"model\" is missing, expected the name of a model");
        }
        JsonNode maxTokens =
                root.hasNonNull("max_completion_tokens")
                        ? root.get("max_completion_tokens")
                        : root.path("max_tokens");
        boolean limitGiven = !maxTokens.isMissingNode() && !maxTokens.isNull();
        if (limitGiven
                && (!maxTokens.canConvertToInt()
                        || !maxTokens.isNumber()
                        || maxTokens.asInt() < 1)) {
            throw badRequest("field \"max_tokens\" is " + maxTokens + ", expected a number from 1");
        }
        return new ChatCompletionRequest(
                model,
                parseMessages(root.path("messages")),
                limitGiven ? maxTokens.asInt() : 0,
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                extraFields((ObjectNode) root));
    }

    private static JsonNode readTree(byte[] body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            if (root == null || root.isMissingNode()) {
                throw badRequest("the body is empty, expected a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String position =
                    location == null
                            ? ""
                            : " at line "
                                    + location.getLineNr()
                                    + ", column "
                                    + location.getColumnNr();
            throw badRequest(
                    "the body is not JSON" + position + ": " + firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw badRequest("the body cannot be read");
        }
    }

    private static String firstLine(String text) {
        String line = text == null ? "" : text.lines().findFirst().orElse("");
        return line.length() > 200 ? line.substring(0, 200) : line;
    }

    private static List<ChatMessage> parseMessages(JsonNode node) {
        if (!node.isArray() || node.isEmpty()) {
            throw badRequest("field \"messages\" is missing or empty, expected a list of messages");
        }
        List<ChatMessage> messages = new ArrayList<>(node.size());
        for (JsonNode message : node) {
            String path = "messages[" + messages.size() + "]";
            String role = message.path("role").asText("");
            if (!ROLES.contains(role)) {
                throw badRequest(path + ".role is \"" + role + "\", expected one of " + ROLES);
            }
            messages.add(new ChatMessage(role, parseContent(message.path("content"), path)));
        }
        return messages;
    }

    private static String parseContent(JsonNode node, String path) {
        if (node.isTextual()) {
            return node.asText();
        }
        if (node.isMissingNode() || node.isNull()) {
            return "";
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : node) {
            if (!part.path("type").asText("").equals("text") || !part.path("text").isTextual()) {
                throw badRequest(path + ".content has a part that is not text, expected text");
            }
            text.append(part.path("text").asText());
        }
        if (!node.isArray()) {
            throw badRequest(path + ".content is " + node.getNodeType() + ", expected text");
        }
        return text.toString();
    }

    private static String extraFields(ObjectNode root) {
        ObjectNode extra = root.deepCopy();
        extra.remove(KNOWN_FIELDS);
        return extra.isEmpty() ? "" : extra.toString();
    }

    /** Estimates the tokens of a conversation as its number of words. */
    static long estimateTokens(List<ChatMessage> messages) {
        long tokens = 0;
        for (ChatMessage message : messages) {
            tokens += countWords(message.content());
        }
        return tokens;
    }

    /** Returns the number of words, divided by white space. */
    static long countWords(String text) {
        long words = 0;
        boolean insideWord = false;
        for (int i = 0; i < text.length(); i++) {
            boolean whitespace = Character.isWhitespace(text.charAt(i));
            if (!whitespace && !insideWord) {
                words++;
            }
            insideWord = !whitespace;
        }
        return words;
    }

    private static HeathercourseException badRequest(String message) {
        return new HeathercourseException(
                ErrorKind.BAD_REQUEST, message, "send a chat-completions request");
    }
}
