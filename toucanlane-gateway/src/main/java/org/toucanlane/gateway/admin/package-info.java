/** The servlets of a host's admin port, for operators. */
package org.toucanlane.gateway.admin;
