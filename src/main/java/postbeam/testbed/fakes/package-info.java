/** Fake data nodes and a fake discovery service, which speak the real protocols. */
package postbeam.testbed.fakes;
