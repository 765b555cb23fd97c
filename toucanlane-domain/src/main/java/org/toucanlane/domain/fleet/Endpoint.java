package org.toucanlane.domain.fleet;

import java.net.URI;

/**
 * One instance of a service, such as a model engine.
 *
 * @param name unique name
 * @param service name of the service
 * @param dataCentre name of its data centre
 * @param address base URL
 * @param capacity maximum number of concurrent requests without queueing
 */
public record Endpoint(String name, String service, String dataCentre, URI address, int capacity) {}
