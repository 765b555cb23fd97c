package org.toucanlane.edge.gossip;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountUse;

/**
 * What one host tells others of itself several times a second.
 *
 * <p>A report may be lost or come late; each is complete in itself for what it names.
 *
 * @param host the host
 * @param incarnation number of its process
 * @param endpoints what it has running, by endpoint
 * @param uses what it has used and holds of accounts' limits
 * @param cached prompt parts that it has lately sent to endpoints, by endpoint
 */
public record LoadReport(
        String host,
        long incarnation,
        Map<String, RemoteLoad> endpoints,
        Map<String, AccountUse> uses,
        Map<String, List<CachedPart>> cached) {

    private static final JsonFactory JSON = new JsonFactory();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates a report. */
    public LoadReport {
        endpoints = Map.copyOf(endpoints);
        uses = Map.copyOf(uses);
        cached = Map.copyOf(cached);
    }

    /** Returns the report as bytes. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("host", host);
            json.writeNumberField("incarnation", incarnation);
            json.writeObjectFieldStart("endpoints");
            for (Map.Entry<String, RemoteLoad> entry : endpoints.entrySet()) {
                RemoteLoad load = entry.getValue();
                json.writeFieldName(entry.getKey());
                long percent = Math.round(load.slowness() * 100);
                long[] values = {load.running(), load.pendingTokens(), load.usedTokens(), load.usable() ? 1 : 0, percent
                };
                json.writeArray(values, 0, values.length);
            }
            json.writeEndObject();
            json.writeObjectFieldStart("uses");
            for (Map.Entry<String, AccountUse> entry : uses.entrySet()) {
                AccountUse use = entry.getValue();
                json.writeFieldName(entry.getKey());
                json.writeArray(new long[] {Math.round(use.demand()), Math.round(use.level())}, 0, 2);
            }
            json.writeEndObject();
            json.writeObjectFieldStart("cached");
            for (Map.Entry<String, List<CachedPart>> entry : cached.entrySet()) {
                json.writeObjectFieldStart(entry.getKey());
                for (CachedPart part : entry.getValue()) {
                    json.writeNumberField(part.id(), part.tokens());
                }
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a byte array can always be written to", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads a report.
     *
     * @throws IOException if the bytes are none
     */
    public static LoadReport decode(byte[] bytes) throws IOException {
        JsonNode node = MAPPER.readTree(bytes);
        if (node == null || !node.path("host").isTextual()) {
            throw new IOException("not a load report");
        }
        Map<String, RemoteLoad> endpoints = new HashMap<>();
        node.path("endpoints").properties().forEach(entry -> endpoints.put(entry.getKey(), loadOf(entry.getValue())));
        Map<String, AccountUse> uses = new HashMap<>();
        node.path("uses").properties().forEach(entry -> uses.put(entry.getKey(), useOf(entry.getValue())));
        Map<String, List<CachedPart>> cached = new HashMap<>();
        node.path("cached").properties().forEach(entry -> cached.put(entry.getKey(), partsOf(entry.getValue())));
        return new LoadReport(
                node.path("host").asText(), node.path("incarnation").asLong(), endpoints, uses, cached);
    }

    private static List<CachedPart> partsOf(JsonNode parts) {
        return parts.properties().stream()
                .map(entry -> new CachedPart(entry.getKey(), entry.getValue().asLong()))
                .toList();
    }

    private static AccountUse useOf(JsonNode values) {
        return new AccountUse(values.path(0).asLong(), values.path(1).asLong());
    }

    private static RemoteLoad loadOf(JsonNode values) {
        return new RemoteLoad(
                values.path(0).asInt(),
                values.path(1).asLong(),
                values.path(2).asLong(),
                values.path(3).asInt() != 0,
                values.path(4).asInt() / 100.0);
    }
}
