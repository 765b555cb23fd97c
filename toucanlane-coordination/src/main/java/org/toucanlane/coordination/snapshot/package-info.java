/** Immutable values that are replaced as a whole and only by later versions. */
package org.toucanlane.coordination.snapshot;
