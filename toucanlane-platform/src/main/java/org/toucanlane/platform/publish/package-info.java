/** Putting operators' files into force through the platform's key-value service. */
package org.toucanlane.platform.publish;
