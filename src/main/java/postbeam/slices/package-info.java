/**
 * Slices that split, merge and move while queries run: the layout, what it makes of queries, and
 * the moves that change it. Decisions and state alone: no I/O, no clock and no thread; times are
 * spans that the caller passes in. {@link postbeam.slices.SliceTranslator} is what a router asks,
 * {@link postbeam.slices.Coordinator} what the one process asks that moves slices.
 * docs/moving-slices.md tells the ways weighed.
 */
package postbeam.slices;
