/** Regions, data centres, hosts and endpoints. */
package org.toucanlane.domain.fleet;
