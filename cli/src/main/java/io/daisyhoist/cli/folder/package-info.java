/** Configuration files on the operator's disk and their base revisions. */
package io.daisyhoist.cli.folder;
