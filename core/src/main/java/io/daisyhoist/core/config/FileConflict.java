package io.daisyhoist.core.config;

/**
 * Conflict of a push: the file has changed since the base revision of the push. Immutable.
 *
 * @param file file name
 * @param baseRevision revision on which the push was based, 0 for a new file
 * @param revision revision in force, 0 when the file was removed
 * @param author operator who made the revision in force or removed the file; empty when that is no longer kept
 */
public record FileConflict(String file, long baseRevision, long revision, String author) {}
