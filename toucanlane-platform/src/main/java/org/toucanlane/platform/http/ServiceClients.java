package org.toucanlane.platform.http;

import java.time.Duration;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.classic.HttpClientBuilder;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.util.Timeout;

/**
 * Creates HTTP clients of the platform's services and endpoints, which may send incomplete or endless responses.
 *
 * <p>Invariant: a connection carries one request. A response names no request, so on a kept connection a late copy of an
 * earlier response could be taken for the next one.
 *
 * <p>Stateless and thread-safe.
 */
public final class ServiceClients {

    private static final int MAX_LINE_LENGTH = 8 << 10;
    private static final int MAX_HEADERS = 100;

    private static final Http1Config LIMITS = Http1Config.custom()
            .setMaxLineLength(MAX_LINE_LENGTH)
            .setMaxHeaderCount(MAX_HEADERS)
            .build();

    private ServiceClients() {}

    /**
     * Returns a builder of clients that send each request at most once.
     *
     * @param maxConnections maximum number of open connections
     */
    public static HttpClientBuilder newBuilder(int maxConnections, Duration connectTimeout) {
        ManagedHttpClientConnectionFactory connections = ManagedHttpClientConnectionFactory.builder()
                .http1Config(LIMITS)
                .responseParserFactory(config -> new ResponseHeadParser(LIMITS))
                .build();
        return HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setConnectionFactory(connections)
                        .setMaxConnPerRoute(maxConnections)
                        .setMaxConnTotal(maxConnections)
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(Timeout.of(connectTimeout))
                                .build())
                        .build())
                .setConnectionReuseStrategy((request, response, context) -> false)
                .disableAutomaticRetries();
    }
}
