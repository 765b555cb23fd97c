/** Exchange of load and demand reports between hosts. */
package org.toucanlane.edge.gossip;
