package org.heathercourse.gateway.call;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.limits.WorkspaceRates;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.ColdTargetRule;
import org.heathercourse.core.target.ObjectAffinity;
import org.heathercourse.core.target.RegionRule;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.gateway.control.BudgetService;
import org.heathercourse.gateway.control.ClusterView;
import org.heathercourse.gateway.control.CrashRecordService;
import org.heathercourse.gateway.control.RateService;
import org.heathercourse.gateway.history.TurnHistory;
import org.heathercourse.gateway.target.TargetPools;
import org.heathercourse.platform.entry.CallFormat;

/**
 * The collaborators of a {@link Call}. Immutable; the components are confined to the traffic loop
 * unless their documentation says otherwise.
 *
 * @param loop event loop of the caller and target connections
 * @param ticker monotonic clock
 * @param zone zone of this gateway
 * @param clusterView latest configuration, targets and gateways
 * @param configurationAge age of the configuration
 * @param maxConfigurationAgeMillis maximum age of the configuration in milliseconds at which keys
 *     are accepted
 * @param format headers of the platform
 * @param rates rate limits of the workspaces
 * @param rateService client of the gateways that own the rates; completed once the peer network has
 *     started
 * @param budgetService client of the gateways that own the budgets of programs; completed once the
 *     peer network has started
 * @param crashRecords requests that crash targets, as known to all gateways
 * @param pools connections to targets
 * @param targetSelector load balancer
 * @param regionRule decides to which regions a request may be sent
 * @param objectAffinity prefers targets that have kept the object of a request
 * @param coldTargetRule decides which requests are sent to cold targets
 * @param loadTracking load of the targets, as far as gateways share it
 * @param random source of random numbers for load balancing and jitter
 * @param metrics counters and histograms of calls
 * @param memory budget for bytes of callers and targets
 * @param drainSchedule times of the planned stop, if the gateway leaves
 * @param turnHistory histories of turns; safe for use by several threads
 * @param maxHistoryBytes maximum size of a turn's history together with its own input, in bytes
 */
public record CallDependencies(
        EventLoop loop,
        Ticker ticker,
        Zone zone,
        ClusterView clusterView,
        ReadFreshness configurationAge,
        LongSupplier maxConfigurationAgeMillis,
        CallFormat format,
        WorkspaceRates rates,
        CompletableFuture<RateService> rateService,
        CompletableFuture<BudgetService> budgetService,
        CrashRecordService crashRecords,
        TargetPools pools,
        TargetSelector targetSelector,
        RegionRule regionRule,
        ObjectAffinity objectAffinity,
        ColdTargetRule coldTargetRule,
        LoadTracking loadTracking,
        RandomGenerator random,
        CallMetrics metrics,
        MemoryBudget memory,
        Supplier<DrainSchedule> drainSchedule,
        TurnHistory turnHistory,
        long maxHistoryBytes) {}
