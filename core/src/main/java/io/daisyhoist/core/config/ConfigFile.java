package io.daisyhoist.core.config;

/**
 * One file of the configuration document. Immutable.
 *
 * @param name file name, which also determines the merge order
 * @param content TOML text as pushed
 * @param revision version of the document that last changed this file
 * @param author operator who made that change
 */
public record ConfigFile(String name, String content, long revision, String author) {}
