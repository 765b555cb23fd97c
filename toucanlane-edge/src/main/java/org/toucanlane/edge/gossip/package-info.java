/** Reports of load and demand that hosts send each other. */
package org.toucanlane.edge.gossip;
