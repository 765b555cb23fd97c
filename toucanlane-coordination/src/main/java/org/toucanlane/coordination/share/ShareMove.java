package org.toucanlane.coordination.share;

import java.util.List;

/**
 * The division of one account's limit before and after a move. Configuration versions that contain the same move yield
 * equal instances. Immutable.
 */
record ShareMove(List<HostShare> before, List<HostShare> after) {

    ShareMove {
        before = List.copyOf(before);
        after = List.copyOf(after);
    }
}
