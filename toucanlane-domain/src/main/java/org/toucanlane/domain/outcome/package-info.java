/** What may come of a request when it isn't answered: the closed list of error kinds. */
package org.toucanlane.domain.outcome;
