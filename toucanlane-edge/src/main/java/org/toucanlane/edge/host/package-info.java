/** One host of the system: its parts, its start and its graceful stop. */
package org.toucanlane.edge.host;
