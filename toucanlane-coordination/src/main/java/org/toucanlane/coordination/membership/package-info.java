/** Which hosts of the fleet were heard of lately, and what they said. */
package org.toucanlane.coordination.membership;
