// Command stand plays the cases of the review under review/. It stands in for the clients, the
// servers and the platform, and starts the project's own program as one process for each machine.
//
// The names of the users' wire are in the data files beside this file.
package main
