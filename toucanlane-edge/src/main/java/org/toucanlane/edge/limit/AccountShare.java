package org.toucanlane.edge.limit;

import com.google.common.base.Preconditions;

/**
 * What this host may use of an account's limit.
 *
 * @param part its part of rate and burst, from 0 to 1
 * @param reachablePart the part of all hosts that hear each other, with this one
 * @param levelElsewhere what the buckets of the others among them hold, less their debts
 */
public record AccountShare(double part, double reachablePart, double levelElsewhere) {

    /** Part of what others hold that is drawn on; the rest covers what they use until their next report. */
    private static final double DRAWN_PART = 0.8;

    /** Creates a share. */
    public AccountShare {
        Preconditions.checkArgument(
                part >= 0 && part <= reachablePart + 1e-9 && reachablePart <= 1,
                "part must be from 0 to reachablePart, and that at most 1: %s, %s",
                part,
                reachablePart);
    }

    /** Returns how far this host may go into debt beyond what its own bucket holds. */
    public double drawable() {
        return reachablePart <= 0 ? 0 : DRAWN_PART * Math.max(0, levelElsewhere) * part / reachablePart;
    }
}
