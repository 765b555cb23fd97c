/** A small HTTP server for the stand-ins. */
package org.toucanlane.standins.http;
