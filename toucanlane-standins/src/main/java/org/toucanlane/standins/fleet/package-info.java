/**
 * Complete deployments on the loopback interface: each host is a process, external systems are stand-ins, and a
 * fault-injecting proxy connects them.
 */
package org.toucanlane.standins.fleet;
