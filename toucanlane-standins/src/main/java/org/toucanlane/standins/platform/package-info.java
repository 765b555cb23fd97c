/** Stand-in for the platform: its key-value service and its host list, to which changes become visible late. */
package org.toucanlane.standins.platform;
