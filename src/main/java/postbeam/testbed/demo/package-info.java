/** The demo command. */
package postbeam.testbed.demo;
