package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP request of a caller. The body array and the headers must not be modified.
 *
 * @param method HTTP method
 * @param uri request target, byte for byte as received
 * @param headers request headers as received
 * @param body request body; empty if there is none
 */
public record CallRequest(String method, String uri, HttpHeaders headers, byte[] body) {}
