package org.heathercourse.gateway.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Reads many rows in parallel, with a bound. Stateless and safe for use by several threads. */
final class GroupedReads {
    /** Maximum number of reads of one history under way, so that others come between. */
    static final int MAX_PARALLEL = 16;

    private GroupedReads() {}

    /** Returns the results of all reads, in their order; fails if one of them fails. */
    static <T> CompletableFuture<List<T>> read(List<Supplier<CompletableFuture<T>>> reads) {
        CompletableFuture<List<T>> results = CompletableFuture.completedFuture(List.of());
        for (int from = 0; from < reads.size(); from += MAX_PARALLEL) {
            int to = Math.min(reads.size(), from + MAX_PARALLEL);
            List<Supplier<CompletableFuture<T>>> group = reads.subList(from, to);
            results = results.thenCompose(earlier -> readGroup(earlier, group));
        }
        return results;
    }

    private static <T> CompletableFuture<List<T>> readGroup(
            List<T> earlier, List<Supplier<CompletableFuture<T>>> group) {
        List<CompletableFuture<T>> replies = group.stream().map(Supplier::get).toList();
        return CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
                .thenApply(
                        done -> {
                            List<T> results = new ArrayList<>(earlier);
                            replies.forEach(reply -> results.add(reply.join()));
                            return results;
                        });
    }
}
