/** HTTP server on the loopback interface that the stand-ins share. */
package org.toucanlane.standins.http;
