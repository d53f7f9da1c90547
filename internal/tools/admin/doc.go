// Package admin implements the operators' changes to the configuration and the
// budgets, through the platform's Object API.
//
// Every change is a conditional update. An edit of a version that was replaced
// meanwhile fails with ErrConflict and writes nothing. After a write whose response
// was lost, the object is read again, so that the operator learns which version is
// in force.
package admin
