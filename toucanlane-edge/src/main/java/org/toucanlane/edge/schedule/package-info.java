/** Runs the periodic tasks of a host with few wake-ups of its event loop. */
package org.toucanlane.edge.schedule;
