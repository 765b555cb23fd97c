package org.toucanlane.coordination.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when the ledger of a new holder starts to use a share that moves to it. */
class LedgerMoveTest {

    private static final String ACCOUNT = "account";
    private static final ShareLimit LIMIT = new ShareLimit(100, 1000);
    private static final List<HostShare> BEFORE = List.of(new HostShare("old", "d", LIMIT));
    private static final List<HostShare> AFTER = List.of(new HostShare("new", "d", LIMIT));

    private long now;
    private final ShareLedger newHolder = ShareLedger.builder()
            .self("new", "d", 1)
            .clock(() -> now)
            .transport(LoanTransport.disconnected())
            .build();

    private static ShareTable tableOf(long version) {
        return ShareTable.of(version, Map.of(ACCOUNT, AFTER), Map.of(ACCOUNT, BEFORE), Set.of("old", "new"));
    }

    private long freeAfter(Duration time) {
        now += time.toNanos();
        return newHolder.freeTokens(ACCOUNT);
    }

    @Test
    void shareIsUsedOnlyAfterConfirmationAndLoanExpiry() {
        newHolder.apply(tableOf(2), Map.of());
        assertThat(freeAfter(Duration.ofSeconds(10))).isZero();
        newHolder.apply(tableOf(2), Map.of("old", 2L));
        assertThat(freeAfter(Duration.ofSeconds(1))).isZero();
        newHolder.apply(tableOf(2), Map.of("old", 2L));
        assertThat(freeAfter(Duration.ofSeconds(2))).isZero();
        newHolder.apply(tableOf(2), Map.of("old", 2L));
        assertThat(freeAfter(Duration.ofSeconds(5))).isEqualTo(500);
    }

    @Test
    void laterVersionWithSameMoveKeepsTokens() {
        newHolder.apply(tableOf(2), Map.of("old", 2L));
        now += TimeUnit.SECONDS.toNanos(3);
        newHolder.apply(tableOf(2), Map.of("old", 2L));
        assertThat(freeAfter(Duration.ofSeconds(5))).isEqualTo(500);
        newHolder.apply(tableOf(3), Map.of("old", 2L));
        assertThat(freeAfter(Duration.ZERO)).isEqualTo(500);
        assertThat(freeAfter(Duration.ofSeconds(1))).isEqualTo(600);
    }
}
