// Package trial runs the whole path in one process on loopback: a platform,
// engines and plain services as stand-ins, five instances in four zones, and a
// short load. It then checks what must always hold, and says so in a report.
package trial
