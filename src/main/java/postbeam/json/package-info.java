/**
 * JSON as untyped trees: reading with bounds on depth, checked access to members, writing. The
 * codecs of the other packages turn these trees into their own types. Imports no other package of
 * this project.
 */
package postbeam.json;
