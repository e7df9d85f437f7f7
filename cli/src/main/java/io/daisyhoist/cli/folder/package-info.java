/** Configuration files on the operator's disk. */
package io.daisyhoist.cli.folder;
