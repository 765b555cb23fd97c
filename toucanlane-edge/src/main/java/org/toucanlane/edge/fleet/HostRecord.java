package org.toucanlane.edge.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Preconditions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * What a host tells other hosts of itself, under a lease that ends with it.
 *
 * @param name unique name
 * @param dataCentre name of its data centre
 * @param region region of its data centre
 * @param address IP address
 * @param callerPort port for callers
 * @param hopPort port for requests of other hosts
 * @param gossipPort port for other hosts' load reports
 * @param incarnation number of its process; larger than that of any earlier process on the host
 * @param weight requests that it can carry, relative to other hosts
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

    /** Creates a record. */
    public HostRecord {
        Preconditions.checkArgument(!name.isEmpty() && !address.isEmpty(), "name and address must not be empty");
        Preconditions.checkArgument(weight > 0, "weight must be positive: %s", weight);
    }

    /** Returns the record as bytes. */
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
     * Reads a record.
     *
     * @throws IOException if the bytes are no record
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
            throw new IOException("not a host's record", e);
        }
    }
}
