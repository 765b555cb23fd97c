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
 * Mutual TLS between hosts, from PEM files that may be replaced while the process runs.
 *
 * <p>Files are looked at whenever a connection is made; if any has changed they are loaded again. Files that can't be
 * loaded leave the earlier ones in use. Both sides must present a certificate that the trusted ones signed. Thread-safe.
 */
public final class PeerTls {

    private static final Logger LOG = LoggerFactory.getLogger(PeerTls.class);

    private final File certificate;
    private final File privateKey;
    private final File trustedCertificates;
    private volatile Contexts contexts;

    private PeerTls(File certificate, File privateKey, File trusted) throws SSLException {
        this.certificate = certificate;
        this.privateKey = privateKey;
        this.trustedCertificates = trusted;
        this.contexts = load();
    }

    /**
     * Loads the files.
     *
     * @param certificate chain of this host's certificate
     * @param privateKey its private key, PKCS #8
     * @param trusted certificates that sign the peers' ones
     * @throws SSLException if a file can't be used
     */
    public static PeerTls load(Path certificate, Path privateKey, Path trusted) throws SSLException {
        return new PeerTls(certificate.toFile(), privateKey.toFile(), trusted.toFile());
    }

    private Contexts load() throws SSLException {
        List<Long> stamp = readModificationTimes();
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
            return new Contexts(stamp, client, server);
        } catch (IllegalArgumentException e) {
            throw new SSLException("can't use " + certificate + ", " + privateKey + " and " + trustedCertificates, e);
        }
    }

    private List<Long> readModificationTimes() {
        return Stream.of(certificate, privateKey, trustedCertificates)
                .map(File::lastModified)
                .toList();
    }

    private Contexts reloadIfChanged() {
        Contexts before = contexts;
        if (before.modificationTimes().equals(readModificationTimes())) {
            return before;
        }
        try {
            contexts = load();
            LOG.info("loaded new certificates from {}", certificate);
        } catch (SSLException e) {
            LOG.error("new certificates can't be used; the earlier ones stay in use", e);
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
