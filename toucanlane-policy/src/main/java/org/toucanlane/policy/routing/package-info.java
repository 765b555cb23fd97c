/** Decisions on where a request runs. Pure: state in, decision out. */
package org.toucanlane.policy.routing;
