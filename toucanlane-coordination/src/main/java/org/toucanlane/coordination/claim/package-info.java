/**
 * A log of claims that lets a fleet run a keyed action at most once.
 *
 * <p>See {@code docs/DECISIONS/0003-claim-log.md}.
 */
package org.toucanlane.coordination.claim;
