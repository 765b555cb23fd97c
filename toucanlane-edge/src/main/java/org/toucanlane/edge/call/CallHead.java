package org.toucanlane.edge.call;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parsed headers of a caller's request.
 *
 * @param id id of this attempt, chosen by the caller
 * @param host host name that the caller addresses
 * @param path request path without the query
 * @param timeLeftMillis timeout that the caller specifies, measured from the arrival of the request, if any
 * @param key key of the client account, if any
 * @param prompt size and parts of the prompt, if the request is for a model engine
 * @param lastEventId id of the last event that the caller has received, if it resumes a stream
 */
public record CallHead(
        String id,
        String host,
        String path,
        OptionalLong timeLeftMillis,
        Optional<String> key,
        Optional<Prompt> prompt,
        Optional<String> lastEventId) {

    /** Returns a copy with another id of the last received event. */
    CallHead withLastEventId(Optional<String> eventId) {
        return new CallHead(id, host, path, timeLeftMillis, key, prompt, eventId);
    }
}
