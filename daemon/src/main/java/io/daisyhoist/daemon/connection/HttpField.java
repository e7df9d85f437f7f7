package io.daisyhoist.daemon.connection;

/**
 * One header field. Immutable.
 *
 * @param name field name
 * @param value field value
 */
public record HttpField(String name, String value) {}
