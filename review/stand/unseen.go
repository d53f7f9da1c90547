package main

import (
	"syscall"
	"time"
)

// restartDelay is the time from the kill of a process to its next start in playUnseen.
const restartDelay = 200 * time.Millisecond

// playUnseen plays a drill of the store whose copy is older than the ledgers, while one machine is
// started again.
func playUnseen(f *fleet) (bool, error) {
	engine := func(r *replica) { r.events, r.gap = 2, 2*time.Millisecond }
	if err := f.addReplicas("models", "v1", 4, engine); err != nil {
		return false, err
	}
	if err := f.platform.configure(prepaid); err != nil {
		return false, err
	}
	older := f.platform.Copy()
	f.record.say("the store makes a copy")
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	m := newMeter()
	f.spendUpTo(m, prepaid/2, f.machines...)
	f.record.say("the tenant has consumed %d tokens", m.total())
	x := f.machines[4]
	if trouble != "0" {
		if err := x.signal(syscall.SIGKILL); err != nil {
			return false, err
		}
		x.wait()
		started := make(chan error, 1)
		time.AfterFunc(restartDelay, func() { started <- x.start() })
		if err := f.platform.drill(older, awayTime); err != nil {
			return false, err
		}
		if err := <-started; err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	f.spendAll(m, largePrompt, 15*time.Second, f.machines...)
	f.spendAll(m, smallPrompt, 10*time.Second, f.machines...)
	return f.judgeBudget(m), nil
}
