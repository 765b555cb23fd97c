package org.toucanlane.edge.call;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.retry.RetryBudget;

/**
 * What all requests of a host share.
 *
 * @param loop the host's event loop
 * @param dialect translation of headers
 * @param router choice of endpoints
 * @param limiter limits of accounts
 * @param budgets repeats that may be sent, by service
 * @param sent hears which endpoint was sent which parts of a prompt
 * @param running requests that could be sent again if nothing comes of them
 * @param log decisions
 * @param metrics counters and histograms
 * @param self name of this host
 */
record CallServices(
        EventLoop loop,
        CallDialect dialect,
        Router router,
        AccountLimiter limiter,
        Budgets budgets,
        BiConsumer<EndpointHandle, List<PromptSegment>> sent,
        Set<Call> running,
        DecisionLog log,
        CallMetrics metrics,
        String self) {

    /** The retry budgets of all services. Used on the host's event loop only. */
    static final class Budgets {

        private final double perCall;
        private final int saved;
        private final Map<String, RetryBudget> byService = new HashMap<>();

        /**
         * Creates full budgets.
         *
         * @param perCall repeats that each first send earns
         * @param saved repeats that may be saved up for each service
         */
        Budgets(double perCall, int saved) {
            this.perCall = perCall;
            this.saved = saved;
        }

        RetryBudget of(String service) {
            return byService.computeIfAbsent(service, key -> new RetryBudget(perCall, saved));
        }
    }
}
