package org.toucanlane.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.net.ssl.SSLException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerTlsTest {

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(50);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration REFUSAL_WAIT = Duration.ofMillis(1500);

    @TempDir
    private Path folder;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private X509Bundle authority;
    private PeerNode server;

    @BeforeEach
    void start() throws Exception {
        authority = newAuthority("first");
        server = node("server", keys("server", authority));
    }

    @AfterEach
    void stop() {
        server.close();
        threads.shutdownNow();
    }

    private static X509Bundle newAuthority(String name) throws Exception {
        return new CertificateBuilder()
                .subject("CN=" + name)
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
    }

    private PeerTls keys(String name, X509Bundle signer) throws Exception {
        write(name, signer);
        return PeerTls.load(file(name, "crt"), file(name, "key"), file(name, "ca"));
    }

    private Path file(String name, String extension) {
        return folder.resolve(name + '.' + extension);
    }

    private void write(String name, X509Bundle signer) throws Exception {
        X509Bundle bundle = new CertificateBuilder().subject("CN=" + name).buildIssuedBy(signer);
        Files.writeString(file(name, "crt"), bundle.getCertificatePathPEM());
        Files.writeString(file(name, "key"), bundle.getPrivateKeyPEM());
        Files.writeString(file(name, "ca"), signer.getRootCertificatePEM());
    }

    private PeerNode node(String host, PeerTls tls) throws InterruptedException {
        return new PeerNode(
                new InetSocketAddress("127.0.0.1", 0),
                new PeerIdentity(host, "d", 1),
                new NoOpPeerHandler(),
                Optional.of(tls),
                threads);
    }

    private boolean connects(PeerTls tls, Duration timeout) throws InterruptedException {
        PeerNode client = node("client", tls);
        try {
            client.connect("server", server.address(), HEARTBEAT_INTERVAL);
            long deadline = System.nanoTime() + timeout.toNanos();
            boolean connected = false;
            while (!connected && System.nanoTime() - deadline < 0) {
                Thread.sleep(10);
                connected = client.link("server").filter(PeerLink::isConnected).isPresent();
            }
            return connected;
        } finally {
            client.close();
        }
    }

    @Test
    void onlyCertificatesOfTheTrustedAuthorityConnect() throws Exception {
        assertThat(connects(keys("client", authority), CONNECT_TIMEOUT)).isTrue();
        assertThat(connects(keys("stranger", newAuthority("second")), REFUSAL_WAIT))
                .isFalse();
    }

    @Test
    void replacedFilesApplyToNewConnections() throws Exception {
        PeerTls client = keys("client", authority);
        X509Bundle newAuthority = newAuthority("next");
        write("server", newAuthority);
        touch("server");
        assertThat(connects(client, REFUSAL_WAIT))
                .as("connects with the old certificate")
                .isFalse();
        write("client", newAuthority);
        touch("client");
        assertThat(connects(client, CONNECT_TIMEOUT))
                .as("connects with the new certificate")
                .isTrue();
    }

    @Test
    void unusableFilesKeepThePreviousCertificates() throws Exception {
        PeerTls client = keys("client", authority);
        Files.writeString(file("client", "crt"), "not a certificate");
        touch("client");
        assertThat(connects(client, CONNECT_TIMEOUT)).isTrue();
        assertThatThrownBy(() -> PeerTls.load(file("client", "crt"), file("client", "key"), file("client", "ca")))
                .isInstanceOf(SSLException.class);
    }

    /** Sets modification times later than any that the file system may have set, so that the change is detected. */
    private void touch(String name) throws IOException {
        FileTime future = FileTime.fromMillis(System.currentTimeMillis() + 10_000);
        for (String extension : new String[] {"crt", "key", "ca"}) {
            Files.setLastModifiedTime(file(name, extension), future);
        }
    }
}
