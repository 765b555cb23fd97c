package org.toucanlane.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class MembershipViewTest {

    private final AtomicLong now = new AtomicLong();
    private final MembershipView view = new MembershipView(now::get, Duration.ofSeconds(2));

    private boolean observe(long incarnation, long version, boolean leaving) {
        return view.observe(new Member("h1", "d1", incarnation, version, leaving, 0, now.get()));
    }

    @Test
    void silentMemberIsKeptButNotOfferedWork() {
        assertThat(view.state("h1")).isEqualTo(MemberState.UNKNOWN);
        observe(1, 5, false);
        assertThat(view.state("h1")).isEqualTo(MemberState.ALIVE);
        now.addAndGet(Duration.ofSeconds(3).toNanos());
        assertThat(view.state("h1")).isEqualTo(MemberState.SILENT);
        assertThat(view.membersAcceptingWork("d1")).isEmpty();
        assertThat(view.confirmedVersions()).containsEntry("h1", 5L);
        observe(1, 5, false);
        assertThat(view.state("h1")).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void heartbeatOfOlderIncarnationIsIgnored() {
        observe(2, 7, false);
        assertThat(observe(1, 9, true)).isFalse();
        assertThat(view.state("h1")).isEqualTo(MemberState.ALIVE);
        assertThat(view.confirmedVersions()).containsEntry("h1", 7L);
    }

    @Test
    void olderHeartbeatDoesNotClearLeaving() {
        observe(1, 5, true);
        observe(1, 4, false);
        assertThat(view.state("h1")).isEqualTo(MemberState.LEAVING);
        assertThat(view.confirmedVersions()).containsEntry("h1", 5L);
        observe(2, 6, false);
        assertThat(view.state("h1")).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void longerHeartbeatIntervalExtendsSilenceTimeout() {
        long interval = Duration.ofSeconds(3).toNanos();
        view.observe(new Member("h2", "d2", 1, 1, false, interval, now.get()));
        now.addAndGet(Duration.ofSeconds(8).toNanos());
        assertThat(view.state("h2")).isEqualTo(MemberState.ALIVE);
        now.addAndGet(Duration.ofSeconds(5).toNanos());
        assertThat(view.state("h2")).isEqualTo(MemberState.SILENT);
    }
}
