/** Measurements with real processes on loopback, each beside a baseline in the same run. */
package org.toucanlane.standins.measure;
