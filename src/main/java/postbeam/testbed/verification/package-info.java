/** What is seen of a run, and the checker of the invariants over it. */
package postbeam.testbed.verification;
