// Package admin implements the operators' changes to client accounts, service
// documents and budgets, through the platform's Object API.
//
// Every change is a conditional update of one object. An edit that is based on a
// version that was replaced meanwhile fails with ErrConflict and writes nothing. After
// a write whose response was lost, the object is read again, so that the operator
// learns which version is in force.
package admin
