/** What operators ask a host through its admin port. */
package org.toucanlane.gateway.admin;
