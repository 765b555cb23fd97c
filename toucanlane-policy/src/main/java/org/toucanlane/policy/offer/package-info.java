/**
 * Offers of spare capacity between regions: how much a region offers, what a host may use of it, and when it does.
 */
package org.toucanlane.policy.offer;
