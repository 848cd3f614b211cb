/**
 * The common form of errors that can occur in operation: the problem, and what an operator can do
 * about it. The kinds of errors are declared in the packages in which they occur; this package
 * depends on no other.
 */
package postbeam.errors;
