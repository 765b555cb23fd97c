package org.toucanlane.coordination.membership;

/**
 * The contents of a host's last heartbeat.
 *
 * @param host name of the host
 * @param dataCentre its data centre
 * @param incarnation number of its process, larger than that of any previous process on the same host
 * @param configurationVersion configuration version that it has applied
 * @param leaving whether it is shutting down
 * @param heartbeatIntervalNanos time until its next heartbeat is due, 0 if not specified
 * @param receivedAtNanos time at which the heartbeat was received, by the receiver's monotonic clock
 */
public record Member(
        String host,
        String dataCentre,
        long incarnation,
        long configurationVersion,
        boolean leaving,
        long heartbeatIntervalNanos,
        long receivedAtNanos) {}
