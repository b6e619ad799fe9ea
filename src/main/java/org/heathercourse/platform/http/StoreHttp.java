package org.heathercourse.platform.http;

import java.io.IOException;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.heathercourse.platform.StoreException;

/** Sends requests to the platform's stores and maps failures. Safe for several threads. */
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

    /** Sends a request; any failure after the first byte leaves the outcome unknown. */
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
                        mService + " at " + mBaseUrl + " did not answer: " + e, e);
            }
            throw StoreException.unavailable(
                    mService + " at " + mBaseUrl + " was not reached: " + e, e);
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
