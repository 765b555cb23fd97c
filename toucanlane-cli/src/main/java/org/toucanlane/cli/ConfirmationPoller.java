package org.toucanlane.cli;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Waits until hosts have a version in force. Used once. */
final class ConfirmationPoller {

    private static final long POLL_MILLIS = 100;

    private final HostClient hosts;
    private final List<URI> admins;
    private final Output out;

    ConfirmationPoller(HostClient hosts, List<URI> admins, Output out) {
        this.hosts = hosts;
        this.admins = admins;
        this.out = out;
    }

    /** Returns the hosts that have not confirmed within the time, sorted. */
    List<String> await(long version, Set<String> expected, int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        List<String> missing = missing(version, expected);
        int reported = -1;
        while (!missing.isEmpty() && System.nanoTime() - end < 0) {
            if (missing.size() != reported) {
                reported = missing.size();
                out.printDiagnostic(
                        (expected.size() - reported) + " of " + expected.size() + " hosts have version " + version);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            missing = missing(version, expected);
        }
        return missing;
    }

    private List<String> missing(long version, Set<String> expected) {
        Map<String, Long> confirmed = hosts.confirmedVersions(admins);
        return expected.stream()
                .filter(host -> confirmed.getOrDefault(host, 0L) < version)
                .sorted()
                .toList();
    }
}
