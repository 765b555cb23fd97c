/** How a limit over all hosts is divided between them. */
package org.toucanlane.policy.share;
