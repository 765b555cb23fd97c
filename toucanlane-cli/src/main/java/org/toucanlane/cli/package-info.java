/** The operators' command line. */
package org.toucanlane.cli;
