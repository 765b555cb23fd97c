/** Failure outcomes of requests: error kinds, execution status and the exception that carries them. */
package org.toucanlane.domain.outcome;
