/** Publication of operators' configuration files through the platform's key-value store. */
package org.toucanlane.platform.publish;
