package org.toucanlane.standins.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/** HTTP client that sends requests to hosts as a caller does. Thread-safe. */
public final class CallerClient {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** Returns the JSON body of a chat completion request. */
    public static String chatBody(String model, String prompt, int maxTokens, boolean streamed) {
        return "{\"model\":\"" + model + "\",\"stream\":" + streamed + ",\"max_tokens\":" + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }

    /** Sends a request and returns the response with its complete body. */
    public HttpResponse<String> send(Call call) throws IOException, InterruptedException {
        return client.send(toRequest(call), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and returns the response, whose body yields each line as it arrives. */
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
     * A request to a host.
     *
     * @param address URI of the request
     * @param method HTTP method
     * @param body request body; ignored for GET
     * @param key API key, sent as bearer token
     * @param idempotencyKey value of the {@code Idempotency-Key} header
     */
    public record Call(URI address, String method, String body, Optional<String> key, Optional<String> idempotencyKey) {

        /** Returns a GET request with an API key. */
        public static Call get(URI address, String key) {
            return new Call(address, "GET", "", Optional.of(key), Optional.empty());
        }

        /** Returns a POST request with an API key. */
        public static Call post(URI address, String key, String body) {
            return new Call(address, "POST", body, Optional.of(key), Optional.empty());
        }

        /** Returns a copy of this call with the given idempotency key. */
        public Call withIdempotencyKey(String newIdempotencyKey) {
            return new Call(address, method, body, key, Optional.of(newIdempotencyKey));
        }

        /** Returns a copy of this call without an API key. */
        public Call withoutKey() {
            return new Call(address, method, body, Optional.empty(), idempotencyKey);
        }
    }
}
