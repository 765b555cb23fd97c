/** Decisions of a host whose own processor time is short: the age of what it reads, order, refusals, and retry times. */
package org.toucanlane.policy.overload;
