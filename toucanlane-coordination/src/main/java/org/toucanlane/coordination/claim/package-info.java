/**
 * A shared claim log with which all hosts together execute a keyed action at most once.
 *
 * <p>See {@code docs/DECISIONS/0003-claim-log.md}.
 */
package org.toucanlane.coordination.claim;
