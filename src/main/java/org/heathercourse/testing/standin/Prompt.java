package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed conversation that is sent to an engine. A token is a word between white space. Load
 * drivers put markers into prompts and engines into answers, so that histories can be checked.
 * Immutable.
 *
 * @param prefixHashes hash of the conversation up to and including each message
 * @param prefixTokens token count of the conversation up to and including each message
 * @param program program of the last prompt marker; null if there is none
 * @param turn turn of the last prompt marker
 * @param budgetTokens token budget of the program, from the last prompt marker
 * @param outputWords number of filler words to generate
 * @param turnsInOrder whether the prompt markers of turns 0 to {@code turn} alternate with one
 *     answer marker each, in the order of turns
 * @param answerHashes hashes of the answers to the earlier turns
 * @param hasForeignMarkers whether a message carries a marker of another program
 */
record Prompt(
        long[] prefixHashes,
        long[] prefixTokens,
        String program,
        int turn,
        long budgetTokens,
        int outputWords,
        boolean turnsInOrder,
        List<Long> answerHashes,
        boolean hasForeignMarkers) {
    private static final int DEFAULT_OUTPUT_WORDS = 8;
    private static final long FNV_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final Pattern PROMPT_MARKER =
            Pattern.compile("\\[\\[program=(\\S+) turn=(\\d+) budget=(\\d+) out=(\\d+)]]");
    private static final Pattern ANY_MARKER =
            Pattern.compile("\\[\\[(?:answer )?program=([^\\s\\]]+) turn=(\\d+)[^\\]]*]]");

    /** A marker and the hash of the message that carries it. */
    private record MarkedMessage(boolean isAnswer, String program, int turn, long contentHash) {}

    static Prompt of(JsonNode messages) {
        int count = messages.size();
        long[] hashes = new long[count];
        long[] tokens = new long[count];
        long hash = FNV_BASIS;
        long total = 0;
        List<MarkedMessage> marked = new ArrayList<>();
        Matcher lastPromptMarker = null;
        for (int i = 0; i < count; i++) {
            String role = messages.get(i).path("role").asText();
            String content = textOf(messages.get(i).path("content"));
            hash = hash(hash(hash, role), content);
            total += countWords(content);
            hashes[i] = hash;
            tokens[i] = total;
            Matcher anyMarker = ANY_MARKER.matcher(content);
            while (anyMarker.find()) {
                boolean isAnswer = anyMarker.group().startsWith("[[answer");
                marked.add(
                        new MarkedMessage(
                                isAnswer,
                                anyMarker.group(1),
                                Integer.parseInt(anyMarker.group(2)),
                                textHash(content)));
            }
            Matcher promptMarker = PROMPT_MARKER.matcher(content);
            if (role.equals("user") && promptMarker.find()) {
                lastPromptMarker = promptMarker;
            }
        }
        return withMarkers(hashes, tokens, marked, lastPromptMarker);
    }

    private static Prompt withMarkers(
            long[] hashes, long[] tokens, List<MarkedMessage> marked, Matcher lastPromptMarker) {
        if (lastPromptMarker == null) {
            return new Prompt(
                    hashes,
                    tokens,
                    null,
                    0,
                    0,
                    DEFAULT_OUTPUT_WORDS,
                    true,
                    List.of(),
                    !marked.isEmpty());
        }
        String program = lastPromptMarker.group(1);
        int turn = Integer.parseInt(lastPromptMarker.group(2));
        boolean foreign = false;
        List<MarkedMessage> ownMessages = new ArrayList<>();
        for (MarkedMessage message : marked) {
            if (message.program().equals(program)) {
                ownMessages.add(message);
            } else {
                foreign = true;
            }
        }
        boolean ordered = ownMessages.size() == 2 * turn + 1;
        List<Long> answers = new ArrayList<>();
        for (int i = 0; i < ownMessages.size() && ordered; i++) {
            boolean isAnswer = i % 2 == 1;
            ordered =
                    ownMessages.get(i).isAnswer() == isAnswer && ownMessages.get(i).turn() == i / 2;
            if (isAnswer) {
                answers.add(ownMessages.get(i).contentHash());
            }
        }
        return new Prompt(
                hashes,
                tokens,
                program,
                turn,
                Long.parseLong(lastPromptMarker.group(3)),
                Integer.parseInt(lastPromptMarker.group(4)),
                ordered,
                List.copyOf(answers),
                foreign);
    }

    /** Returns the token count of the whole conversation. */
    long tokens() {
        return prefixTokens.length == 0 ? 0 : prefixTokens[prefixTokens.length - 1];
    }

    /** Returns the hash of the whole conversation. */
    long hash() {
        return prefixHashes.length == 0 ? FNV_BASIS : prefixHashes[prefixHashes.length - 1];
    }

    /** Returns the hash of the conversation with an answer appended. */
    long hashWithAnswer(String answer) {
        return hash(hash(hash(), "assistant"), answer);
    }

    /** Returns the hash for comparing answers; leading and trailing white space is ignored. */
    static long textHash(String text) {
        return hash(FNV_BASIS, text.strip());
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return (hash ^ 0x1f) * FNV_PRIME;
    }

    private static long countWords(String text) {
        long words = 0;
        boolean inWord = false;
        for (int i = 0; i < text.length(); i++) {
            boolean blank = Character.isWhitespace(text.charAt(i));
            if (!blank && !inWord) {
                words++;
            }
            inWord = !blank;
        }
        return words;
    }

    private static String textOf(JsonNode content) {
        if (!content.isArray()) {
            return content.asText("");
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText("")));
        return text.toString();
    }
}
