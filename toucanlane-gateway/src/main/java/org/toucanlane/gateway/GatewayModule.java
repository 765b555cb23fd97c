package org.toucanlane.gateway;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.toucanlane.coordination.claim.BackOff;
import org.toucanlane.coordination.claim.ClaimLog;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.domain.account.KeyHasher;
import org.toucanlane.gateway.peer.PeerLoanTransport;
import org.toucanlane.platform.endpoint.EndpointClient;
import org.toucanlane.platform.hostlist.HostListClient;
import org.toucanlane.platform.store.HttpKeyValueStore;
import org.toucanlane.wire.PeerIdentity;

/** Guice bindings of the gateway daemon, built from its settings. */
final class GatewayModule extends AbstractModule {

    private static final int CLAIM_WRITER_THREADS = 16;
    private static final long INITIAL_BACKOFF_MILLIS = 10;
    private static final long MAX_BACKOFF_MILLIS = 400;

    private final GatewaySettings settings;
    private final KeyHasher hasher;

    /**
     * Creates a module.
     *
     * @throws IOException if the file with the hash secret cannot be read or is empty
     */
    GatewayModule(GatewaySettings settings) throws IOException {
        this.settings = settings;
        String secret = Files.readString(settings.keyHashSecretFile(), StandardCharsets.UTF_8)
                .strip();
        if (secret.isEmpty()) {
            throw new IOException("keyHashSecretFile " + settings.keyHashSecretFile() + " is empty");
        }
        this.hasher = KeyHasher.of(secret);
    }

    @Override
    protected void configure() {
        bind(GatewaySettings.class).toInstance(settings);
        bind(KeyHasher.class).toInstance(hasher);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        bind(MeterRegistry.class).toInstance(registry);
        bind(PrometheusMeterRegistry.class).toInstance(registry);
    }

    @Provides
    @Singleton
    PeerIdentity identity() {
        return new PeerIdentity(settings.host(), settings.dataCentre(), System.currentTimeMillis());
    }

    @Provides
    @Singleton
    KeyValueStore store() {
        return HttpKeyValueStore.create(settings.store(), settings.storeTimeout());
    }

    @Provides
    @Singleton
    HostListClient hostList() {
        return new HostListClient(settings.hostList(), settings.storeTimeout());
    }

    @Provides
    @Singleton
    EndpointClient endpoints() {
        return new EndpointClient();
    }

    @Provides
    @Singleton
    ShareLedger ledger(PeerIdentity self, PeerLoanTransport loans) {
        return ShareLedger.builder()
                .self(self.host(), self.dataCentre(), self.incarnation())
                .transport(loans)
                .build();
    }

    @Provides
    @Singleton
    ClaimLog claims(PeerIdentity self, KeyValueStore store) {
        ExecutorService writers = Executors.newFixedThreadPool(
                CLAIM_WRITER_THREADS,
                new ThreadFactoryBuilder()
                        .setNameFormat("claims-%d")
                        .setDaemon(true)
                        .build());
        return new ClaimLog(
                store,
                self.host() + '#' + self.incarnation(),
                settings.claimShards(),
                settings.keepClaims(),
                writers,
                System::currentTimeMillis,
                BackOff.exponential(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS));
    }
}
