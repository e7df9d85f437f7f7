/** Text tables for operators and JSON output for scripts. */
package io.daisyhoist.cli.output;
