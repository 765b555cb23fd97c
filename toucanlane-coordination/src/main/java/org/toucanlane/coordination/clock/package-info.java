/** Time sources that tests can replace. */
package org.toucanlane.coordination.clock;
