package org.heathercourse.core.model;

/**
 * One message of a conversation.
 *
 * @param role author of the message: system, user, assistant or tool
 * @param content text of the message
 */
public record ChatMessage(String role, String content) {}
