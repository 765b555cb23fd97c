package org.toucanlane.coordination.share;

import java.util.List;

/**
 * The division of one account's limit before and after a move. Two versions of the configuration that tell of the same
 * move have equal ones. Immutable.
 */
record ShareMove(List<HostShare> before, List<HostShare> after) {

    ShareMove {
        before = List.copyOf(before);
        after = List.copyOf(after);
    }
}
