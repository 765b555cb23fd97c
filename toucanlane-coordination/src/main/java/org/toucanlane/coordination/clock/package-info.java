/** Sources of time that tests can replace. */
package org.toucanlane.coordination.clock;
