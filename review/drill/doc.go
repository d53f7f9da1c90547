// Command drill plays the cases 6 to 10 under review against the project's own program: it starts
// instances as separate processes, and stands in for the platform's store, the endpoints and the
// callers. It checks one rule from what callers and endpoints have seen.
//
//	drill CASE FOLDER
//
// It writes to FOLDER/record.txt what was sent, answered and run. Its exit code is 0 if the rule
// held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment it
// plays the case without its disruption.
//
// The names of the users' platform are in names.json and config.json.
package main
