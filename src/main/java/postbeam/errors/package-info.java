/**
 * The form of errors that can happen in service: the problem, and what an operator can do about it.
 * The kinds of errors stand in the packages where they happen; this package depends on no other.
 */
package postbeam.errors;
