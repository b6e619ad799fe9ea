package org.heathercourse.platform.http;

import java.io.IOException;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.heathercourse.platform.StoreException;

/**
 * Sends requests to one of the platform's stores and maps failures to {@link StoreException}. Safe
 * for use by several threads.
 */
final class StoreHttp {
    private final HttpTransport mTransport;
    private final HttpUrl mBaseUrl;
    private final String mService;

    StoreHttp(HttpTransport transport, String baseUrl, String service) {
        mTransport = transport;
        mBaseUrl = HttpUrl.get(baseUrl);
        mService = service;
    }

    HttpUrl.Builder url(String path) {
        return mBaseUrl.newBuilder().addPathSegments(path);
    }

    /**
     * Sends a request and blocks until the whole response is read.
     *
     * @return the response, whose status is below 500
     * @throws StoreException if there is no such response; its outcome is unknown if any byte of
     *     the request may have been sent
     */
    HttpTransport.Reply send(Request.Builder request) {
        HttpTransport.SentTracker tracker = new HttpTransport.SentTracker();
        try {
            HttpTransport.Reply reply = mTransport.exchange(request, tracker);
            if (reply.status() >= 500) {
                throw unexpected(reply);
            }
            return reply;
        } catch (IOException e) {
            if (tracker.sent()) {
                throw StoreException.outcomeUnknown(
                        mService + " at " + mBaseUrl + " did not answer the request: " + e, e);
            }
            throw StoreException.unavailable(
                    mService + " at " + mBaseUrl + " cannot be reached: " + e, e);
        }
    }

    StoreException unexpected(HttpTransport.Reply reply) {
        return StoreException.outcomeUnknown(
                mService + " at " + mBaseUrl + " answered with status " + reply.status(), null);
    }

    StoreException malformed(IOException cause) {
        return StoreException.outcomeUnknown(
                mService + " at " + mBaseUrl + " answered with a malformed body", cause);
    }
}
