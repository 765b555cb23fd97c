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
 * Objects shared by all requests of a host.
 *
 * @param loop event loop of the host
 * @param dialect header translation
 * @param router selects endpoints and regions
 * @param limiter account limits
 * @param retryBudgets retry budgets by service
 * @param promptSentListener receives each endpoint and the prompt parts sent to it
 * @param quarantineCheck refuses requests that are held back
 * @param crashDetector detects crashes of endpoints
 * @param responseBuffers memory for incomplete responses
 * @param repeatableCalls requests in progress that may be sent again if they stall
 * @param gracePeriod the time that requests have left once the host is stopping
 * @param drainCheck refuses requests that wouldn't end in that time
 * @param waitingCalls requests that wait until an endpoint has room
 * @param log decision log
 * @param metrics counters and histograms
 * @param hostName name of this host
 */
record CallContext(
        EventLoop loop,
        CallDialect dialect,
        Router router,
        AccountLimiter limiter,
        RetryBudgets retryBudgets,
        BiConsumer<EndpointHandle, List<PromptSegment>> promptSentListener,
        QuarantineCheck quarantineCheck,
        CrashDetector crashDetector,
        ResponseBuffers responseBuffers,
        Set<Call> repeatableCalls,
        GracePeriod gracePeriod,
        DrainCheck drainCheck,
        WaitingCalls waitingCalls,
        DecisionLog log,
        CallMetrics metrics,
        String hostName) {

    /** The retry budget of each service. Used on the host's event loop only. */
    static final class RetryBudgets {

        private final double retriesPerRequest;
        private final int maxSavedRetries;
        private final Map<String, RetryBudget> byService = new HashMap<>();

        /**
         * Creates budgets that are initially full.
         *
         * @param retriesPerRequest retries earned by each first send of a request
         * @param maxSavedRetries maximum number of unused retries kept for each service
         */
        RetryBudgets(double retriesPerRequest, int maxSavedRetries) {
            this.retriesPerRequest = retriesPerRequest;
            this.maxSavedRetries = maxSavedRetries;
        }

        RetryBudget forService(String service) {
            return byService.computeIfAbsent(service, key -> new RetryBudget(retriesPerRequest, maxSavedRetries));
        }
    }
}
