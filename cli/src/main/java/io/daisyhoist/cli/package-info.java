/** The operators' command-line tool: argument parsing and exit codes. */
package io.daisyhoist.cli;
