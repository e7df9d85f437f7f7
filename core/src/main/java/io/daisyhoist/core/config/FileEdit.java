package io.daisyhoist.core.config;

import java.util.Optional;

/**
 * One file that a push writes or removes. Immutable.
 *
 * @param name file name
 * @param content new text; empty to remove the file
 * @param baseRevision revision of the file on which the operator's change is based, 0 for a new file
 */
public record FileEdit(String name, Optional<String> content, long baseRevision) {}
