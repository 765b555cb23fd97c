package org.toucanlane.wire;

import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import javax.net.ssl.SSLException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Mutual TLS between hosts, configured from PEM files that may be replaced while the process runs.
 *
 * <p>The modification times of the files are checked for each new connection, and all files are reloaded if any has
 * changed. If the new files can't be loaded, the previous certificates stay in use. Both sides must present a
 * certificate signed by one of the trusted certificates. Thread-safe.
 */
public final class PeerTls {

    private static final Logger LOG = LoggerFactory.getLogger(PeerTls.class);

    private final File certificate;
    private final File privateKey;
    private final File trustedCertificates;
    private volatile Contexts contexts;

    private PeerTls(File certificate, File privateKey, File trustedCertificates) throws SSLException {
        this.certificate = certificate;
        this.privateKey = privateKey;
        this.trustedCertificates = trustedCertificates;
        this.contexts = load();
    }

    /**
     * Loads the certificates and the private key.
     *
     * @param certificate certificate chain of this host
     * @param privateKey private key of this host, in PKCS #8 format
     * @param trustedCertificates certificates of the authorities that sign peer certificates
     * @throws SSLException if the files can't be loaded
     */
    public static PeerTls load(Path certificate, Path privateKey, Path trustedCertificates) throws SSLException {
        return new PeerTls(certificate.toFile(), privateKey.toFile(), trustedCertificates.toFile());
    }

    private Contexts load() throws SSLException {
        List<Long> modificationTimes = readModificationTimes();
        try {
            SslContext client = SslContextBuilder.forClient()
                    .keyManager(certificate, privateKey)
                    .trustManager(trustedCertificates)
                    .endpointIdentificationAlgorithm(null)
                    .build();
            SslContext server = SslContextBuilder.forServer(certificate, privateKey)
                    .trustManager(trustedCertificates)
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
            return new Contexts(modificationTimes, client, server);
        } catch (IllegalArgumentException e) {
            throw new SSLException(
                    "can't load TLS files " + certificate + ", " + privateKey + " and " + trustedCertificates, e);
        }
    }

    private List<Long> readModificationTimes() {
        return Stream.of(certificate, privateKey, trustedCertificates)
                .map(File::lastModified)
                .toList();
    }

    private Contexts reloadIfChanged() {
        Contexts loaded = contexts;
        if (loaded.modificationTimes().equals(readModificationTimes())) {
            return loaded;
        }
        try {
            contexts = load();
            LOG.info("loaded new certificates from {}", certificate);
        } catch (SSLException e) {
            LOG.error("can't load the new certificates; the earlier ones stay in use", e);
        }
        return contexts;
    }

    ChannelHandler clientHandler(SocketChannel channel) {
        return reloadIfChanged().client().newHandler(channel.alloc());
    }

    ChannelHandler serverHandler(SocketChannel channel) {
        return reloadIfChanged().server().newHandler(channel.alloc());
    }

    private record Contexts(List<Long> modificationTimes, SslContext client, SslContext server) {}
}
