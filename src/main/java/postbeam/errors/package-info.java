/**
 * The form of errors that can happen in service: what happened, to what, and what an operator can
 * do. It knows no other package; the kinds stand in the packages where they happen.
 */
package postbeam.errors;
