package org.toucanlane.policy.queue;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * What placement expects for a request that can't be sent now. Immutable.
 *
 * @param untilPlace time until the wait at the best endpoint has fallen to the limit for the request, if no other
 *     request took the place
 * @param untilResponse time from then to the first response
 * @param retryAfter delay after which the request would come back if it were refused
 */
public record PlaceEstimate(Duration untilPlace, Duration untilResponse, Duration retryAfter) {

    /** Validates the components. */
    public PlaceEstimate {
        Preconditions.checkArgument(!untilPlace.isNegative(), "untilPlace must not be negative: %s", untilPlace);
        Preconditions.checkArgument(
                !untilResponse.isNegative(), "untilResponse must not be negative: %s", untilResponse);
        Preconditions.checkArgument(!retryAfter.isNegative(), "retryAfter must not be negative: %s", retryAfter);
    }
}
