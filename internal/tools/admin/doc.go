// Package admin is what operators do to the configuration and the budgets,
// against the platform's Object API.
//
// Every change is a conditional update. An edit that someone else has overtaken
// fails with ErrOvertaken and changes nothing. A write whose answer was lost is
// read again, so that the operator is told what is in force.
package admin
