package org.toucanlane.cli;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Polls hosts until they confirm that a configuration version is in force. Used once. */
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

    /** Waits for confirmations and returns the sorted names of the hosts that have not confirmed before the timeout. */
    List<String> await(long version, Set<String> expected, int timeoutSeconds) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        List<String> missing = missing(version, expected);
        int reportedMissing = -1;
        while (!missing.isEmpty() && System.nanoTime() - deadline < 0) {
            if (missing.size() != reportedMissing) {
                reportedMissing = missing.size();
                out.printDiagnostic((expected.size() - reportedMissing) + " of " + expected.size()
                        + " hosts have version " + version);
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
