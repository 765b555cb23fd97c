package org.toucanlane.gateway.dispatch;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Extracts {@code usage.total_tokens} from a JSON response that arrives in chunks. Scanning stops at the first syntax
 * error, so a response that is not JSON has no usage. Not thread-safe.
 */
final class UsageScanner {

    private static final JsonFactory FACTORY = new JsonFactory();

    private final JsonParser parser;
    private boolean validJson = true;
    private long totalTokens = -1;

    UsageScanner() {
        try {
            parser = FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a non-blocking JSON parser", e);
        }
    }

    void scan(byte[] bytes, int length) {
        if (!validJson) {
            return;
        }
        try {
            ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
            feeder.feedInput(Arrays.copyOf(bytes, length), 0, length);
            JsonToken token = parser.nextToken();
            while (token != null && token != JsonToken.NOT_AVAILABLE) {
                inspect(token);
                token = parser.nextToken();
            }
        } catch (IOException e) {
            validJson = false;
        }
    }

    private void inspect(JsonToken token) throws IOException {
        boolean isTotalTokens = token == JsonToken.VALUE_NUMBER_INT && "total_tokens".equals(parser.currentName());
        boolean inUsage = isTotalTokens
                && "usage".equals(parser.getParsingContext().getParent().getCurrentName());
        if (inUsage) {
            totalTokens = parser.getLongValue();
        }
    }

    OptionalLong totalTokens() {
        return totalTokens < 0 ? OptionalLong.empty() : OptionalLong.of(totalTokens);
    }
}
