/**
 * The layout's ways in and out: its form in JSON, the log of moves on disk, the service that
 * decides on moves and tells the layout, the orders to data nodes, and the watch by which a router
 * follows. What is decided stands in postbeam.slices. Switched on by a file of settings alone;
 * nothing of it is loaded without.
 */
package postbeam.layoutservice;
