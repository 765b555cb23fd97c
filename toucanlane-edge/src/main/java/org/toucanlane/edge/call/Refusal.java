package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;

/**
 * An answer of this host itself.
 *
 * @param kind kind of error
 * @param retryAfter when the caller may come back; zero for no hint
 * @param requestId request that it answers, if known
 * @param detail text for people
 */
public record Refusal(ErrorKind kind, Duration retryAfter, Optional<String> requestId, String detail) {}
