package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A conversation as an engine sees it. A token is a word between white space. Immutable.
 *
 * @param prefixHashes hash of the conversation up to and including each message
 * @param prefixTokens tokens of the conversation up to and including each message
 * @param program program of the last marker; null if there is no marker
 * @param turn turn of the last marker
 * @param budget budget of the last marker
 * @param out filler words to generate
 * @param ordered whether the markers of the turns 0 to {@code turn} follow each other with one
 *     answer in between
 * @param answerHashes hashes of the answers that follow the earlier turns
 * @param foreignMarkers whether there is a marker of another program
 */
record Prompt(
        long[] prefixHashes,
        long[] prefixTokens,
        String program,
        int turn,
        long budget,
        int out,
        boolean ordered,
        List<Long> answerHashes,
        boolean foreignMarkers) {
    private static final int DEFAULT_OUT = 8;
    private static final long FNV_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final Pattern MARKER =
            Pattern.compile("\\[\\[program=(\\S+) turn=(\\d+) budget=(\\d+) out=(\\d+)]]");
    private static final Pattern ANY =
            Pattern.compile("\\[\\[(?:answer )?program=([^\\s\\]]+) turn=(\\d+)[^\\]]*]]");

    /** A message that carries a marker. */
    private record Marked(boolean answer, String program, int turn, long contentHash) {}

    static Prompt of(JsonNode messages) {
        int count = messages.size();
        long[] hashes = new long[count];
        long[] tokens = new long[count];
        long hash = FNV_BASIS;
        long total = 0;
        List<Marked> marked = new ArrayList<>();
        Matcher last = null;
        for (int i = 0; i < count; i++) {
            String role = messages.get(i).path("role").asText();
            String content = textOf(messages.get(i).path("content"));
            hash = hash(hash(hash, role), content);
            total += words(content);
            hashes[i] = hash;
            tokens[i] = total;
            Matcher any = ANY.matcher(content);
            while (any.find()) {
                boolean answer = any.group().startsWith("[[answer");
                marked.add(
                        new Marked(
                                answer,
                                any.group(1),
                                Integer.parseInt(any.group(2)),
                                textHash(content)));
            }
            Matcher marker = MARKER.matcher(content);
            if (role.equals("user") && marker.find()) {
                last = marker;
            }
        }
        return withMarkers(hashes, tokens, marked, last);
    }

    private static Prompt withMarkers(
            long[] hashes, long[] tokens, List<Marked> marked, Matcher last) {
        if (last == null) {
            return new Prompt(
                    hashes, tokens, null, 0, 0, DEFAULT_OUT, true, List.of(), !marked.isEmpty());
        }
        String program = last.group(1);
        int turn = Integer.parseInt(last.group(2));
        boolean foreign = false;
        List<Marked> own = new ArrayList<>();
        for (Marked mark : marked) {
            if (mark.program().equals(program)) {
                own.add(mark);
            } else {
                foreign = true;
            }
        }
        boolean ordered = own.size() == 2 * turn + 1;
        List<Long> answers = new ArrayList<>();
        for (int i = 0; i < own.size() && ordered; i++) {
            boolean answer = i % 2 == 1;
            ordered = own.get(i).answer() == answer && own.get(i).turn() == i / 2;
            if (answer) {
                answers.add(own.get(i).contentHash());
            }
        }
        return new Prompt(
                hashes,
                tokens,
                program,
                turn,
                Long.parseLong(last.group(3)),
                Integer.parseInt(last.group(4)),
                ordered,
                List.copyOf(answers),
                foreign);
    }

    /** Returns the tokens of the whole conversation. */
    long tokens() {
        return prefixTokens.length == 0 ? 0 : prefixTokens[prefixTokens.length - 1];
    }

    /** Returns the hash of the whole conversation. */
    long hash() {
        return prefixHashes.length == 0 ? FNV_BASIS : prefixHashes[prefixHashes.length - 1];
    }

    /** Returns the hash of the conversation after an answer. */
    long hashWithAnswer(String answer) {
        return hash(hash(hash(), "assistant"), answer);
    }

    /** Returns the hash by which answers are compared; white space at the ends is ignored. */
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

    private static long words(String text) {
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
