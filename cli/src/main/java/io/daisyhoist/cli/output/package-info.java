/** Tables and JSON for operators and scripts. */
package io.daisyhoist.cli.output;
