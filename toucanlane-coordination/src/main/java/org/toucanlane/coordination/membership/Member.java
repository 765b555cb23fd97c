package org.toucanlane.coordination.membership;

/**
 * What a host said of itself in its last heartbeat.
 *
 * @param host name of the host
 * @param dataCentre its data centre
 * @param incarnation number of its process, larger than that of any earlier process of the same host
 * @param configurationVersion version of the configuration that it has in force
 * @param leaving whether it is shutting down
 * @param heartbeatIntervalNanos in what time its next heartbeat is due, 0 if it did not say
 * @param receivedAtNanos when the heartbeat came, by the receiver's monotonic clock
 */
public record Member(
        String host,
        String dataCentre,
        long incarnation,
        long configurationVersion,
        boolean leaving,
        long heartbeatIntervalNanos,
        long receivedAtNanos) {}
