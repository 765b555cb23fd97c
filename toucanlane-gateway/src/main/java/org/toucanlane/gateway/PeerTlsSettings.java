package org.toucanlane.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotNull;
import java.nio.file.Path;
import javax.net.ssl.SSLException;
import org.toucanlane.wire.PeerTls;

/** PEM files of the mutual TLS between hosts; they may be replaced while the process runs. */
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
     * Loads the files.
     *
     * @throws SSLException if one can't be used
     */
    public PeerTls load() throws SSLException {
        return PeerTls.load(certificate, privateKey, trusted);
    }
}
