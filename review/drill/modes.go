package main

import "jacinthladder.dev/platform/stand"

// The modes of the way to the store.
const (
	pass  = stand.Pass
	stall = stand.Stall
)
