package org.toucanlane.coordination.share;

import java.time.Duration;

/**
 * A lender's reply to a loan request.
 *
 * @param tokens number of tokens lent; less than requested, possibly 0, if the lender has too few
 * @param validity how long the tokens may be spent, measured by the borrower from the time at which it sent the request
 */
public record LoanGrant(long tokens, Duration validity) {}
