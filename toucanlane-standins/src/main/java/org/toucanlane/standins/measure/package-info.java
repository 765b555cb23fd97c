/**
 * Measurements of host processes and of the core data structures on one machine over loopback. Where a baseline exists,
 * it is measured in the same run.
 */
package org.toucanlane.standins.measure;
