/**
 * JSON as untyped trees: parsing with a limited nesting depth, checked access to members, and
 * writing. The codecs of other packages convert these trees to their own types. Imports no other
 * package of this project.
 */
package postbeam.json;
