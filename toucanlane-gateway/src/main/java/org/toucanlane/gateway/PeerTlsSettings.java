package org.toucanlane.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotNull;
import java.nio.file.Path;
import javax.net.ssl.SSLException;
import org.toucanlane.wire.PeerTls;

/** Settings of the PEM files for mutual TLS between hosts. The files may be replaced while the process runs. */
public final class PeerTlsSettings {

    @JsonProperty
    @NotNull
    private Path certificate;

    @JsonProperty
    @NotNull
    private Path privateKey;

    @JsonProperty
    @NotNull
    private Path trusted;

    /**
     * Loads the certificate, the private key and the trusted certificates.
     *
     * @throws SSLException if a file cannot be used
     */
    public PeerTls load() throws SSLException {
        return PeerTls.load(certificate, privateKey, trusted);
    }
}
