/**
 * Clusters that run for real: processes of the built program or their parts within this process,
 * loopback proxies that inject faults, and a load generator.
 */
package postbeam.testbed.cluster;
