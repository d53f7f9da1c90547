// Package settle charges the actual cost of a call to its reservation and writes
// the usage record of the call to the platform.
//
// Usage records are written in batches. A batch has a unique name. Its content is
// fixed before the first attempt to write it, and it is created only if there is none
// with its name. A write whose response is lost can therefore be repeated, and no
// record is written twice.
package settle
