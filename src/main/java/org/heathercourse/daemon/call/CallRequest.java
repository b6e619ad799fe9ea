package org.heathercourse.daemon.call;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * One call without its body, as it goes from the daemon that received it to the owner of its
 * program. It never holds the caller's key. Immutable.
 *
 * @param kind what is called
 * @param workspace workspace that the call runs for; null on routes open to all without a key
 * @param program program that the call belongs to; null for ephemeral calls
 * @param request identity of the call; null for ephemeral calls
 * @param oneCall whether the program consists of this call alone and keeps no history
 * @param requestClass urgency
 * @param deadlineMillis time left for the call, in milliseconds, counted from its arrival
 * @param historyMode how messages relate to the stored history
 * @param service plain service; null for model calls
 * @param method HTTP method of a plain call
 * @param path path and query of a plain call below its service
 * @param headers headers of a plain call that are passed on
 * @param createdSeconds wall-clock time of arrival in seconds, which the answer states
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record CallRequest(
        Kind kind,
        WorkspaceId workspace,
        ProgramId program,
        RequestId request,
        boolean oneCall,
        RequestClass requestClass,
        long deadlineMillis,
        HistoryMode historyMode,
        ServiceId service,
        String method,
        String path,
        Map<String, List<String>> headers,
        long createdSeconds) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    /** What a call asks for. */
    public enum Kind {
        /** Generated text. */
        MODEL,
        /** A plain service. */
        PLAIN,
        /** The answer of an earlier call. */
        ATTACH
    }

    /** Fills in defaults. */
    public CallRequest {
        requestClass = requestClass == null ? RequestClass.INTERACTIVE : requestClass;
        historyMode = historyMode == null ? HistoryMode.FULL : historyMode;
        method = method == null ? "" : method;
        path = path == null ? "" : path;
        headers = headers == null ? Map.of() : Map.copyOf(headers);
    }

    /** Returns whether the call is neither logged nor forwarded. */
    public boolean ephemeral() {
        return program == null;
    }

    /** Returns the shard of the program. */
    ShardId shard(int shardCount) {
        return ShardId.of(program, shardCount);
    }

    /** Returns a builder that starts from this call. */
    public Builder toBuilder() {
        Builder builder = new Builder(kind);
        builder.mWorkspace = workspace;
        builder.mProgram = program;
        builder.mRequest = request;
        builder.mOneCall = oneCall;
        builder.mRequestClass = requestClass;
        builder.mDeadlineMillis = deadlineMillis;
        builder.mHistoryMode = historyMode;
        builder.mService = service;
        builder.mMethod = method;
        builder.mPath = path;
        builder.mHeaders = headers;
        builder.mCreatedSeconds = createdSeconds;
        return builder;
    }

    /** Returns the call as JSON for {@code PeerMessage.CallStart}. */
    public String toJson() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("call cannot be written as JSON", e);
        }
    }

    /**
     * Reads a call.
     *
     * @param json a call as written by {@link #toJson()}
     * @return the call
     * @throws HeathercourseException of kind BAD_REQUEST if the text is no call
     */
    public static CallRequest fromJson(String json) {
        try {
            CallRequest call = MAPPER.readValue(json, CallRequest.class);
            if (call.kind == null || call.program == null || call.request == null) {
                throw malformed(null);
            }
            return call;
        } catch (JsonProcessingException e) {
            throw malformed(e);
        }
    }

    private static HeathercourseException malformed(Throwable cause) {
        return HeathercourseException.builder(ErrorKind.BAD_REQUEST)
                .message("a forwarded call is malformed")
                .remedy("run daemons of neighbouring versions")
                .cause(cause)
                .build();
    }

    /**
     * Returns a builder.
     *
     * @param kind what is called
     * @return a builder with defaults
     */
    public static Builder builder(Kind kind) {
        return new Builder(kind);
    }

    /** Collects the parts of a {@link CallRequest}. Not safe for several threads. */
    public static final class Builder {
        private final Kind mKind;
        private WorkspaceId mWorkspace;
        private ProgramId mProgram;
        private RequestId mRequest;
        private boolean mOneCall;
        private RequestClass mRequestClass = RequestClass.INTERACTIVE;
        private long mDeadlineMillis = RequestClass.INTERACTIVE.defaultDeadlineMillis();
        private HistoryMode mHistoryMode = HistoryMode.FULL;
        private ServiceId mService;
        private String mMethod = "";
        private String mPath = "";
        private Map<String, List<String>> mHeaders = Map.of();
        private long mCreatedSeconds;

        private Builder(Kind kind) {
            mKind = kind;
        }

        /** Sets the workspace. */
        public Builder workspace(WorkspaceId workspace) {
            mWorkspace = workspace;
            return this;
        }

        /** Sets the program. */
        public Builder program(ProgramId program) {
            mProgram = program;
            return this;
        }

        /** Sets the identity of the call. */
        public Builder request(RequestId request) {
            mRequest = request;
            return this;
        }

        /** Sets whether the program consists of this call alone. */
        public Builder oneCall(boolean oneCall) {
            mOneCall = oneCall;
            return this;
        }

        /** Sets the urgency. */
        public Builder requestClass(RequestClass requestClass) {
            mRequestClass = requestClass;
            return this;
        }

        /** Sets the time left in milliseconds. */
        public Builder deadlineMillis(long deadlineMillis) {
            mDeadlineMillis = deadlineMillis;
            return this;
        }

        /** Sets how messages relate to the stored history. */
        public Builder historyMode(HistoryMode historyMode) {
            mHistoryMode = historyMode;
            return this;
        }

        /** Sets the plain service. */
        public Builder service(ServiceId service) {
            mService = service;
            return this;
        }

        /** Sets the HTTP method. */
        public Builder method(String method) {
            mMethod = method;
            return this;
        }

        /** Sets path and query below the service. */
        public Builder path(String path) {
            mPath = path;
            return this;
        }

        /** Sets the headers that are passed on. */
        public Builder headers(Map<String, List<String>> headers) {
            mHeaders = headers;
            return this;
        }

        /** Sets the wall-clock time of arrival in seconds. */
        public Builder createdSeconds(long createdSeconds) {
            mCreatedSeconds = createdSeconds;
            return this;
        }

        /** Creates the call. */
        public CallRequest build() {
            return new CallRequest(
                    mKind,
                    mWorkspace,
                    mProgram,
                    mRequest,
                    mOneCall,
                    mRequestClass,
                    mDeadlineMillis,
                    mHistoryMode,
                    mService,
                    mMethod,
                    mPath,
                    mHeaders,
                    mCreatedSeconds);
        }
    }
}
