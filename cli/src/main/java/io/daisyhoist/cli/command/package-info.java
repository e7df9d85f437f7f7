/** One class for each command of the tool. */
package io.daisyhoist.cli.command;
