/**
 * Configuration of a router: the configuration file and its settings, the settings file of the
 * subsystems and its schema, validation, defaults, and the creation of the routing policy. Names in
 * files and in the simulator's protocol are mapped to the terms of the code here.
 */
package postbeam.config;
