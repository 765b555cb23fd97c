/** Whole deployments on loopback: hosts as processes, the outside world as stand-ins, the proxy in between. */
package org.toucanlane.standins.fleet;
