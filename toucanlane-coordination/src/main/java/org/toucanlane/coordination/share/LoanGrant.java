package org.toucanlane.coordination.share;

import java.time.Duration;

/**
 * A lender's answer.
 *
 * @param tokens tokens lent, fewer than asked for or 0 when the lender is short
 * @param validity how long the tokens may be spent, counted by the borrower from the moment it sent its request
 */
public record LoanGrant(long tokens, Duration validity) {}
