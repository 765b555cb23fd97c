/** Which hosts gather and pass on what the hosts of a region report. */
package org.toucanlane.policy.relay;
