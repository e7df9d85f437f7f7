/** Commands of the command-line tool, one class each. */
package io.daisyhoist.cli.command;
