/**
 * The command line. {@link postbeam.cli.Main} parses it, and one class runs each sub-command.
 * Classes and libraries that a serving router does not need are loaded only for the commands that
 * use them.
 */
package postbeam.cli;
