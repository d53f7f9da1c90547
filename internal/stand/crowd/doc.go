// Package crowd plays callers that keep to no limit, and watches what the process that serves
// them holds.
//
// A Form is what each caller of a crowd does on its connection. The callers send at the same
// time, and most of them stop short of an end and stay connected until the crowd is closed. A
// Watch samples the memory and the open files of the process, and counts as memory also what the
// kernel has received for it, or has still to send for it.
package crowd
