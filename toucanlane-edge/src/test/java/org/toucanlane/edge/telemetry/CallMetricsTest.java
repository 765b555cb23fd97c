package org.toucanlane.edge.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallMetricsTest {

    private final CallMetrics metrics = new CallMetrics();

    /** Each account has fifteen series in each of two histograms, so callers must not be able to add them at will. */
    @Test
    void boundsItsSeriesHoweverManyAccountsThereAre() {
        for (int i = 0; i < 3 * CallMetrics.MOST_ACCOUNTS; i++) {
            metrics.first("route-" + i, "account-" + i, i);
            metrics.whole("route-" + i, "account-" + i, i);
            metrics.gap("route-" + i, i);
        }
        long histograms = 2 * (CallMetrics.MOST_ACCOUNTS + 1) + 3 * (CallMetrics.MOST_ROUTES + 1);
        assertThat(metrics.scrape()
                        .lines()
                        .filter(line -> !line.startsWith("#"))
                        .count())
                .isLessThanOrEqualTo(15 * histograms);
        assertThat(metrics.scrape()).contains("toucanlane_account_first_seconds_count{account=\"(others)\"} 512");
    }

    @Test
    void tellsHowAnswersCompareWithTheirEstimates() {
        metrics.estimated("s", 100, 300);
        metrics.estimated("s", 100, 90);
        assertThat(metrics.scrape())
                .contains("toucanlane_estimate_ratio_bucket{service=\"s\",le=\"1.25\"} 1")
                .contains("toucanlane_estimate_ratio_bucket{service=\"s\",le=\"4.0\"} 2");
    }
}
