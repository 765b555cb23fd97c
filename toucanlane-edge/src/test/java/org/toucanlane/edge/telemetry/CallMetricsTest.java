package org.toucanlane.edge.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallMetricsTest {

    private final CallMetrics metrics = new CallMetrics();

    /**
     * Each account has 15 series in each of two histograms, so their number must not grow with the number of accounts.
     */
    @Test
    void boundsTheNumberOfSeries() {
        for (int i = 0; i < 3 * CallMetrics.MAX_ACCOUNTS; i++) {
            metrics.recordTimeToFirstByte("route-" + i, "account-" + i, i);
            metrics.recordTotalTime("route-" + i, "account-" + i, i);
            metrics.recordStreamGap("route-" + i, i);
        }
        long histograms = 2 * (CallMetrics.MAX_ACCOUNTS + 1) + 3 * (CallMetrics.MAX_ROUTES + 1);
        assertThat(metrics.scrape()
                        .lines()
                        .filter(line -> !line.startsWith("#"))
                        .count())
                .isLessThanOrEqualTo(15 * histograms);
        assertThat(metrics.scrape()).contains("toucanlane_account_first_seconds_count{account=\"(others)\"} 512");
    }

    @Test
    void recordsRatioOfObservedToExpectedTime() {
        metrics.recordEstimateRatio("s", 100, 300);
        metrics.recordEstimateRatio("s", 100, 90);
        assertThat(metrics.scrape())
                .contains("toucanlane_estimate_ratio_bucket{service=\"s\",le=\"1.25\"} 1")
                .contains("toucanlane_estimate_ratio_bucket{service=\"s\",le=\"4.0\"} 2");
    }
}
