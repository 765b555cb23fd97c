/**
 * The protocol between hosts: protobuf frames over TCP, many calls on one connection.
 *
 * <p>See {@code docs/PEER-PROTOCOL.md}.
 */
package org.toucanlane.wire;
