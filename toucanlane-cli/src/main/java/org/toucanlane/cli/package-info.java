/** Command line for operators. */
package org.toucanlane.cli;
