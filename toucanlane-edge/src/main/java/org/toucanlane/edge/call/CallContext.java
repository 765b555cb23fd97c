package org.toucanlane.edge.call;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
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
 * @param retryBudgets repeats that may be sent, by service
 * @param promptSentListener hears which endpoint was sent which parts of a prompt
 * @param repeatableCalls requests that could be sent again if nothing comes of them
 * @param log decisions
 * @param metrics counters and histograms
 * @param hostName name of this host
 */
record CallContext(
        EventLoop loop,
        CallDialect dialect,
        Router router,
        AccountLimiter limiter,
        RetryBudgets retryBudgets,
        BiConsumer<EndpointHandle, List<CachedPart>> promptSentListener,
        Set<Call> repeatableCalls,
        DecisionLog log,
        CallMetrics metrics,
        String hostName) {

    /** The retry budgets of all services. Used on the host's event loop only. */
    static final class RetryBudgets {

        private final double retriesPerRequest;
        private final int maxSavedRetries;
        private final Map<String, RetryBudget> byService = new HashMap<>();

        /**
         * Creates full budgets.
         *
         * @param perCall repeats that each first send earns
         * @param saved repeats that may be saved up for each service
         */
        RetryBudgets(double perCall, int saved) {
            this.retriesPerRequest = perCall;
            this.maxSavedRetries = saved;
        }

        RetryBudget forService(String service) {
            return byService.computeIfAbsent(service, key -> new RetryBudget(retriesPerRequest, maxSavedRetries));
        }
    }
}
