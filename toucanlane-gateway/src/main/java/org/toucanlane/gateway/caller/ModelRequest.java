package org.toucanlane.gateway.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;

/**
 * The properties of a model request that the gateway reads from its body. The body itself is forwarded unchanged.
 *
 * @param model name of the model
 * @param streaming whether the response is an event stream
 * @param promptTokens estimated number of prompt tokens
 * @param maxOutputTokens maximum number of generated tokens
 * @param prefixHash hash of the model name and the start of the prompt, for cache affinity
 */
record ModelRequest(String model, boolean streaming, long promptTokens, long maxOutputTokens, String prefixHash) {

    /** Maximum number of generated tokens for a request that does not specify one. */
    static final long DEFAULT_OUTPUT_TOKENS = 512;

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int PREFIX_CHARACTERS = 256;
    private static final long MAX_OUTPUT_TOKENS = 10_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    static ModelRequest parse(byte[] body) throws RequestFailedException {
        JsonNode tree = readTree(body);
        JsonNode model = tree.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            throw invalidRequest("\"model\" must be a name");
        }
        String prompt = extractPrompt(tree);
        long promptTokens = (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
        String prefixHash = Hashing.murmur3_128()
                .hashString(model.asText() + '\n' + prefix, StandardCharsets.UTF_8)
                .toString();
        return new ModelRequest(
                model.asText(),
                tree.path("stream").asBoolean(false),
                promptTokens,
                parseMaxOutputTokens(tree),
                prefixHash);
    }

    private static JsonNode readTree(byte[] body) throws RequestFailedException {
        try {
            JsonNode tree = JSON.readTree(body);
            if (tree == null || !tree.isObject()) {
                throw invalidRequest("the body must be a JSON object");
            }
            return tree;
        } catch (JsonProcessingException e) {
            throw invalidRequest("the body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw invalidRequest("the body is not JSON");
        }
    }

    private static RequestFailedException invalidRequest(String message) {
        return new RequestFailedException(ErrorKind.INVALID_REQUEST, message);
    }

    private static String extractPrompt(JsonNode tree) throws RequestFailedException {
        StringBuilder prompt = new StringBuilder();
        if (tree.path("messages").isArray()) {
            tree.path("messages").forEach(message -> appendText(prompt, message.path("content")));
        } else if (tree.has("prompt")) {
            appendText(prompt, tree.path("prompt"));
        } else {
            throw invalidRequest("\"messages\" or \"prompt\" is missing");
        }
        return prompt.toString();
    }

    private static void appendText(StringBuilder prompt, JsonNode content) {
        if (content.isTextual()) {
            prompt.append(content.asText());
        } else {
            content.forEach(part -> appendText(prompt, part.isObject() ? part.path("text") : part));
        }
    }

    private static long parseMaxOutputTokens(JsonNode tree) throws RequestFailedException {
        JsonNode limit =
                tree.has("max_completion_tokens") ? tree.path("max_completion_tokens") : tree.path("max_tokens");
        if (limit.isMissingNode() || limit.isNull()) {
            return DEFAULT_OUTPUT_TOKENS;
        }
        if (!limit.isIntegralNumber() || limit.asLong() < 1 || limit.asLong() > MAX_OUTPUT_TOKENS) {
            throw invalidRequest("\"max_tokens\" must be a whole number from 1 to " + MAX_OUTPUT_TOKENS);
        }
        return limit.asLong();
    }

    /** Returns the maximum number of tokens, prompt and output, that the request may use. */
    long maxTotalTokens() {
        return Math.max(1, promptTokens + maxOutputTokens);
    }
}
