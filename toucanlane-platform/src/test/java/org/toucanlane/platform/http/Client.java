package org.toucanlane.platform.http;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.platform.endpoint.EndpointClient;
import org.toucanlane.platform.endpoint.EndpointException;
import org.toucanlane.platform.endpoint.EndpointRequest;
import org.toucanlane.platform.endpoint.EndpointResponse;
import org.toucanlane.platform.hostlist.HostListClient;
import org.toucanlane.platform.store.HttpKeyValueStore;

/** A client of the daemon. */
enum Client {
    ENDPOINT_REQUEST {
        @Override
        Caller open(URI address) {
            return endpoint(address);
        }
    },
    STORE_READ {
        @Override
        Caller open(URI address) {
            HttpKeyValueStore store = HttpKeyValueStore.create(address, TIMEOUT);
            return new Caller(
                    () -> store.get("k")
                            .map(value -> value.revision() + new String(value.value(), StandardCharsets.UTF_8))
                            .orElse("none"),
                    store::close);
        }
    },
    STORE_SWAP {
        @Override
        Caller open(URI address) {
            HttpKeyValueStore store = HttpKeyValueStore.create(address, TIMEOUT);
            return new Caller(() -> "" + store.compareAndSwap("k", new byte[] {1}, 1), store::close);
        }
    },
    HOST_LIST {
        @Override
        Caller open(URI address) {
            HostListClient list = new HostListClient(address, TIMEOUT);
            return new Caller(() -> "" + list.hosts(), list::close);
        }
    };

    /** Time-out of each client. */
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static Caller endpoint(URI address) {
        EndpointClient client = new EndpointClient();
        EndpointRequest request = new EndpointRequest("id", "POST", address, "", "", new byte[] {1}, TIMEOUT);
        return new Caller(
                () -> {
                    try (EndpointResponse response = client.send(request)) {
                        ByteArrayOutputStream body = new ByteArrayOutputStream();
                        byte[] buffer = new byte[1024];
                        for (int count = response.read(buffer); count >= 0; count = response.read(buffer)) {
                            body.write(buffer, 0, count);
                        }
                        return response.status() + body.toString(StandardCharsets.UTF_8);
                    }
                },
                client::close);
    }

    abstract Caller open(URI address);

    /** A request. */
    interface Request {
        String send() throws IOException, EndpointException, StoreException, StoreConflictException;
    }

    /** An open client. */
    record Caller(Request request, Closeable client) implements Closeable {

        static final String FAILED = "failed";

        /** Returns the result of a request, which begins with {@link #FAILED} if there is none. */
        String send() {
            try {
                return request.send();
            } catch (IOException | EndpointException | StoreException | StoreConflictException e) {
                return FAILED + " " + e + " " + e.getCause();
            }
        }

        @Override
        public void close() throws IOException {
            client.close();
        }
    }
}
