/** Start, leave, and what runs in between. */
package org.toucanlane.gateway.lifecycle;
