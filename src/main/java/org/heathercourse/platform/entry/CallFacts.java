package org.heathercourse.platform.entry;

import java.util.OptionalLong;

/**
 * Metadata of a caller's request, read from its headers. Immutable.
 *
 * <p>The text form leaves out the key, so that it can be logged.
 *
 * @param requestId identity of this attempt of the caller; null if absent
 * @param key key of a workspace; null if absent
 * @param deadlineMillis time that the caller waits for the response, in milliseconds; empty if
 *     absent
 * @param programId program that the request belongs to; null if it belongs to none
 * @param programDeadlineMillis time left for the whole program, in milliseconds; empty if absent
 * @param budgetTokens tokens that all turns of the program may generate; empty if absent
 * @param promptTokens estimated tokens of the prompt; 0 if the request is not a turn
 * @param maxOutputTokens maximum number of tokens that the turn generates; 0 if the request is not
 *     a turn
 * @param previousTurnId request id of the turn that this one continues; null if it continues none
 * @param lastEventId id of the last event that the caller has of a stream that broke; null if it
 *     resumes none
 * @param affinityKey object that the request concerns; null if it names none
 */
public record CallFacts(
        String requestId,
        String key,
        OptionalLong deadlineMillis,
        String programId,
        OptionalLong programDeadlineMillis,
        OptionalLong budgetTokens,
        long promptTokens,
        long maxOutputTokens,
        String previousTurnId,
        String lastEventId,
        String affinityKey) {
    @Override
    public String toString() {
        return "CallFacts[requestId=" + requestId + ", programId=" + programId + "]";
    }
}
