package org.toucanlane.edge.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Preconditions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * The record that a host publishes in the store for other hosts, attached to a lease that expires with its process.
 *
 * @param name unique name
 * @param dataCentre name of the data centre
 * @param region name of the data centre's region
 * @param address IP address
 * @param callerPort port for client requests
 * @param hopPort port for requests forwarded by other hosts
 * @param gossipPort UDP port for load reports from other hosts
 * @param incarnation number of the host's process, larger than that of any earlier process of this host
 * @param weight request capacity relative to other hosts
 */
public record HostRecord(
        String name,
        String dataCentre,
        String region,
        String address,
        int callerPort,
        int hopPort,
        int gossipPort,
        long incarnation,
        double weight) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Validates the components. */
    public HostRecord {
        Preconditions.checkArgument(!name.isEmpty() && !address.isEmpty(), "name and address must not be empty");
        Preconditions.checkArgument(weight > 0, "weight must be positive: %s", weight);
    }

    /** Encodes the record as UTF-8 JSON. */
    public byte[] encode() {
        ObjectNode node = JSON.createObjectNode()
                .put("name", name)
                .put("dataCentre", dataCentre)
                .put("region", region)
                .put("address", address)
                .put("callerPort", callerPort)
                .put("hopPort", hopPort)
                .put("gossipPort", gossipPort)
                .put("incarnation", incarnation)
                .put("weight", weight);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a record from JSON.
     *
     * @throws IOException if the bytes are not a valid record
     */
    public static HostRecord decode(byte[] bytes) throws IOException {
        JsonNode node = JSON.readTree(bytes);
        try {
            return new HostRecord(
                    node.path("name").asText(),
                    node.path("dataCentre").asText(),
                    node.path("region").asText(),
                    node.path("address").asText(),
                    node.path("callerPort").asInt(),
                    node.path("hopPort").asInt(),
                    node.path("gossipPort").asInt(),
                    node.path("incarnation").asLong(),
                    node.path("weight").asDouble());
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid host record", e);
        }
    }
}
