// Package trial is an end-to-end test of a fleet in one process on loopback. It
// starts stand-ins of the platform, the engines and the plain services, and five
// instances in four zones. It sends a short load, prints a report and checks
// invariants, such as that no budget is overspent and no request is billed twice.
package trial
