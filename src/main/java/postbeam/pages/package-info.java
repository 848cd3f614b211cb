/**
 * Ordered pages across scattered shards: the total order of rows, what a page is made of, what is
 * still owed, how much is asked of whom, and the cursor. Decisions and state: no I/O, no clock, no
 * thread of its own.
 */
package postbeam.pages;
