// Package node implements one instance of the fleet: one process that accepts callers'
// requests, sends them to endpoints, and exchanges messages with the other instances. It
// reserves the maximum cost of each request in a prepaid budget and then charges the
// actual cost.
//
// A node has three HTTP servers (for callers, peers and operators) and runs the
// background loops of its dependencies. In a planned stop, the node announces that it
// is leaving and still accepts requests during the leave delay. It then stops accepting
// requests and waits for open requests to end. Finally it returns its shares of budgets
// and uploads the remaining usage records.
package node
