package org.heathercourse.gateway.call;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.limits.WorkspaceRates;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.gateway.control.BudgetService;
import org.heathercourse.gateway.control.ClusterView;
import org.heathercourse.gateway.control.RateService;
import org.heathercourse.gateway.target.TargetPools;
import org.heathercourse.platform.entry.CallFormat;

/**
 * What calls use. Immutable; its parts belong to the traffic loop unless they say otherwise.
 *
 * @param loop event loop that carries traffic
 * @param ticker steady time
 * @param zone zone of this gateway
 * @param clusterView configuration, targets and members
 * @param configurationAge age of the configuration
 * @param maxConfigurationAgeMillis age of the configuration in milliseconds up to which keys are
 *     honoured
 * @param format headers
 * @param rates parts of the workspaces' rates
 * @param rateService rates at the gateways that own them, once they can be spoken to
 * @param budgetService budgets of programs, once other gateways can be spoken to
 * @param pools connections to targets
 * @param targetSelector placement
 * @param random source of random points
 * @param metrics counters
 */
public record CallDependencies(
        EventLoop loop,
        Ticker ticker,
        Zone zone,
        ClusterView clusterView,
        ReadFreshness configurationAge,
        long maxConfigurationAgeMillis,
        CallFormat format,
        WorkspaceRates rates,
        CompletableFuture<RateService> rateService,
        CompletableFuture<BudgetService> budgetService,
        TargetPools pools,
        TargetSelector targetSelector,
        RandomGenerator random,
        CallMetrics metrics) {}
