/** Placement of keys on nodes that moves few keys when a node is added or removed. */
package org.toucanlane.coordination.hash;
