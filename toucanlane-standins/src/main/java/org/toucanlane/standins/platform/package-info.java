/** Stand-ins of the platform: the key-value service and the lagging list of hosts. */
package org.toucanlane.standins.platform;
