package org.heathercourse.core.model;

/**
 * One message of a conversation. Immutable.
 *
 * @param role role of the author: system, user, assistant or tool
 * @param content text of the message
 */
public record ChatMessage(String role, String content) {}
