package io.daisyhoist.mesh.connection;

/** Fault of a response of a backend server. */
public enum ResponseFault {
    /** Its id is missing, is that of another request, or stands beside other ids. */
    FOREIGN_ID,
    /** Its head contains the status line of another response. */
    CONTAINS_STATUS_LINE,
    /** Its body contains the head of another response to the same request. */
    BODY_CONTAINS_HEAD,
    /** Its head contains a field more than once that has one value. */
    REPEATED_FIELD,
    /** Its status is that of an interim response, which is followed by another one. */
    INTERIM_STATUS,
    /** Its status is outside 100 to 599. */
    INVALID_STATUS,
    /** Its status or another part of it cannot be decoded. */
    UNREADABLE,
    /** It is a success without a signature. */
    UNSIGNED,
    /** It is a success whose body has a content encoding, which no request asks for. */
    ENCODED
}
