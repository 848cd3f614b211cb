/**
 * What a router is configured with: the configuration file and its settings, the settings file of
 * the subsystems and its schema, validation, defaults, and the routing policy built from them. Wire
 * and file names are mapped to the project's terms here.
 */
package postbeam.config;
