package org.toucanlane.standins.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/** A caller of the system. Thread-safe. */
public final class CallerClient {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** Returns the body of a chat request. */
    public static String chatBody(String model, String prompt, int maxTokens, boolean streamed) {
        return "{\"model\":\"" + model + "\",\"stream\":" + streamed + ",\"max_tokens\":" + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    /** Sends a request and returns the whole answer. */
    public HttpResponse<String> send(Call call) throws IOException, InterruptedException {
        return client.send(toRequest(call), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and returns the answer line by line as it comes. */
    public HttpResponse<Stream<String>> stream(Call call) throws IOException, InterruptedException {
        return client.send(toRequest(call), HttpResponse.BodyHandlers.ofLines());
    }

    private static HttpRequest toRequest(Call call) {
        HttpRequest.Builder request = HttpRequest.newBuilder(call.address()).timeout(REQUEST_TIMEOUT);
        call.key().ifPresent(key -> request.header("Authorization", "Bearer " + key));
        call.idempotencyKey().ifPresent(key -> request.header("Idempotency-Key", key));
        if (call.method().equals("GET")) {
            return request.GET().build();
        }
        return request.header("Content-Type", "application/json")
                .method(call.method(), HttpRequest.BodyPublishers.ofString(call.body()))
                .build();
    }

    /**
     * A request.
     *
     * @param address full address
     * @param method HTTP method
     * @param body body, empty for GET
     * @param key key to present
     * @param idempotencyKey key for repeats
     */
    public record Call(URI address, String method, String body, Optional<String> key, Optional<String> idempotencyKey) {

        /** Returns a GET. */
        public static Call get(URI address, String key) {
            return new Call(address, "GET", "", Optional.of(key), Optional.empty());
        }

        /** Returns a POST. */
        public static Call post(URI address, String key, String body) {
            return new Call(address, "POST", body, Optional.of(key), Optional.empty());
        }

        /** Returns this call under an idempotency key. */
        public Call withIdempotencyKey(String newIdempotencyKey) {
            return new Call(address, method, body, key, Optional.of(newIdempotencyKey));
        }

        /** Returns this call without a key. */
        public Call withoutKey() {
            return new Call(address, method, body, Optional.empty(), idempotencyKey);
        }
    }
}
