/** Trials: runs by seed that anyone can repeat, and the command that runs them. */
package postbeam.testbed.trials;
