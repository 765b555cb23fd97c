package org.toucanlane.edge.call;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's request says, apart from its body.
 *
 * @param id name of this attempt of the caller
 * @param host name that the caller addresses
 * @param path path without a query
 * @param timeLeftMillis how long the caller waits, counted from the arrival of the request, if it says so
 * @param key key of the client account, if any
 * @param prompt size and parts of the prompt, if it is for a model engine
 * @param lastEventId id of the last event that the caller has, if it resumes a stream
 */
public record CallHead(
        String id,
        String host,
        String path,
        OptionalLong timeLeftMillis,
        Optional<String> key,
        Optional<Prompt> prompt,
        Optional<String> lastEventId) {

    /** Returns the same but for the last event that the caller has. */
    CallHead withLastEventId(Optional<String> event) {
        return new CallHead(id, host, path, timeLeftMillis, key, prompt, event);
    }
}
