package org.toucanlane.domain.fleet;

import java.util.List;

/**
 * A data centre and its gateway hosts.
 *
 * @param name unique name
 * @param region name of its region
 * @param hosts names of its hosts
 */
public record DataCentre(String name, String region, List<String> hosts) {

    /** Creates a data centre. */
    public DataCentre {
        hosts = List.copyOf(hosts);
    }
}
