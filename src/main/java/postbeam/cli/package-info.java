/**
 * The command line: {@link postbeam.cli.Main} parses it, one class runs each sub-command. What a
 * serving router does not need is loaded for the commands that need it only.
 */
package postbeam.cli;
