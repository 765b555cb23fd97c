/** Placement of keys on nodes that moves few keys when a node comes or goes. */
package org.toucanlane.coordination.hash;
