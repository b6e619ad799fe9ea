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
 * A call without its body, as forwarded by the daemon that received it to the owner of its program.
 * Never contains the caller's key. Immutable.
 *
 * @param kind kind of the call
 * @param workspace workspace of the call; null on routes that are open without a key
 * @param program program that the call belongs to; null for ephemeral calls
 * @param request identity of the call; null for ephemeral calls
 * @param oneCall whether the program consists of this single call and keeps no history
 * @param requestClass urgency
 * @param deadlineMillis time until the deadline of the call, in milliseconds from its arrival
 * @param historyMode how messages relate to the stored history
 * @param service plain service; null for model calls
 * @param method HTTP method of a plain call
 * @param path path and query of a plain call below its service
 * @param headers headers of a plain call that are sent to the target
 * @param createdSeconds wall-clock time of arrival, in seconds since the epoch; written into the
 *     answer
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

    /** Kinds of calls. */
    public enum Kind {
        /** Generates text with a model. */
        MODEL,
        /** Calls a plain service. */
        PLAIN,
        /** Reads the answer of an earlier call. */
        ATTACH
    }

    /** Replaces absent optional components by their defaults. */
    public CallRequest {
        requestClass = requestClass == null ? RequestClass.INTERACTIVE : requestClass;
        historyMode = historyMode == null ? HistoryMode.FULL : historyMode;
        method = method == null ? "" : method;
        path = path == null ? "" : path;
        headers = headers == null ? Map.of() : Map.copyOf(headers);
    }

    /**
     * Returns whether the call belongs to no program and is therefore neither logged nor forwarded.
     */
    public boolean ephemeral() {
        return program == null;
    }

    /** Returns the shard of the program. */
    ShardId shard(int shardCount) {
        return ShardId.of(program, shardCount);
    }

    /** Returns a builder with the values of this call. */
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
            throw new IllegalStateException("the call cannot be written as JSON", e);
        }
    }

    /**
     * Parses a call.
     *
     * @param json a call as written by {@link #toJson()}
     * @return the call
     * @throws HeathercourseException of kind BAD_REQUEST if the text is not a call of a program
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
                .message("the forwarded call is not a valid call of a program")
                .remedy("run daemons of the same or adjacent versions")
                .cause(cause)
                .build();
    }

    /**
     * Returns a builder.
     *
     * @param kind kind of the call
     * @return a builder with defaults
     */
    public static Builder builder(Kind kind) {
        return new Builder(kind);
    }

    /** Builder of {@link CallRequest}. Not safe for use by several threads. */
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

        /** Sets the workspace of the call; null on routes that are open without a key. */
        public Builder workspace(WorkspaceId workspace) {
            mWorkspace = workspace;
            return this;
        }

        /** Sets the program of the call; null for ephemeral calls. */
        public Builder program(ProgramId program) {
            mProgram = program;
            return this;
        }

        /** Sets the identity of the call, under which repeats are recognized. */
        public Builder request(RequestId request) {
            mRequest = request;
            return this;
        }

        /** Sets whether the program consists of this single call. */
        public Builder oneCall(boolean oneCall) {
            mOneCall = oneCall;
            return this;
        }

        /** Sets the urgency. */
        public Builder requestClass(RequestClass requestClass) {
            mRequestClass = requestClass;
            return this;
        }

        /** Sets the time until the deadline, in milliseconds. */
        public Builder deadlineMillis(long deadlineMillis) {
            mDeadlineMillis = deadlineMillis;
            return this;
        }

        /** Sets how messages relate to the stored history. */
        public Builder historyMode(HistoryMode historyMode) {
            mHistoryMode = historyMode;
            return this;
        }

        /** Sets the plain service; null for model calls. */
        public Builder service(ServiceId service) {
            mService = service;
            return this;
        }

        /** Sets the HTTP method of a plain call. */
        public Builder method(String method) {
            mMethod = method;
            return this;
        }

        /** Sets the path and query below the service. */
        public Builder path(String path) {
            mPath = path;
            return this;
        }

        /** Sets the headers that are sent to the target. */
        public Builder headers(Map<String, List<String>> headers) {
            mHeaders = headers;
            return this;
        }

        /** Sets the wall-clock time of arrival, in seconds since the epoch. */
        public Builder createdSeconds(long createdSeconds) {
            mCreatedSeconds = createdSeconds;
            return this;
        }

        /** Returns a call with the values set so far. */
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
