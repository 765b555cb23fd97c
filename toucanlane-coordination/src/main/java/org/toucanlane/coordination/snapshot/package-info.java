/** Immutable values that are replaced whole and only by later versions. */
package org.toucanlane.coordination.snapshot;
