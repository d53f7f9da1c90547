package picker

import (
	"testing"
	"time"

	"jacinthladder.dev/internal/forward/meta"
)

// stallAll places five requests at endpoint e, which end as Stalled half a second later.
func stallAll(p *Picker, info PickInfo, now time.Time) time.Time {
	var picks []*Pick
	for range 5 {
		picks = append(picks, p.Pick(info, now))
	}
	now = now.Add(500 * time.Millisecond)
	for _, pk := range picks {
		pk.End(Stalled, now)
	}
	return now
}

func TestSoundEndpointThatIsSilentForASecondIsNotEjectedAfterwards(t *testing.T) {
	now := time.Now()
	p := NewPicker("ikeja")
	info := PickInfo{Service: "s", Request: &meta.Request{}}
	p.Update(Endpoint{ID: "e", Service: "s", Address: "e", Slots: 64}, now)
	pk := p.Pick(info, now)
	pk.Heard(now, now)
	pk.End(Succeeded, now)
	state := p.endpoints["e"]
	now = stallAll(p, info, now)
	if !now.Before(state.ejectedUntil) {
		t.Error("an endpoint that is silent is not avoided")
	}
	now = now.Add(minEjection * 3 / 2)
	if now.Before(state.ejectedUntil) || state.currentFailRatio(now) != 0 {
		t.Errorf("after a silence of a second the endpoint is ejected for %s more with failure ratio %.2f, want neither", state.ejectedUntil.Sub(now), state.currentFailRatio(now))
	}
	now = stallAll(p, info, now.Add(maxSoundSilence))
	if state.currentFailRatio(now) == 0 {
		t.Error("an endpoint that is silent for longer does not count as failing")
	}
}

func TestEndpointThatIsSilentOnSomeRequestsCountsAsFailing(t *testing.T) {
	now := time.Now()
	p := NewPicker("ikeja")
	info := PickInfo{Service: "s", Request: &meta.Request{}}
	p.Update(Endpoint{ID: "e", Service: "s", Address: "e", Slots: 64}, now)
	stalled, other := p.Pick(info, now), p.Pick(info, now)
	now = now.Add(500 * time.Millisecond)
	other.Heard(now, now.Add(-time.Millisecond))
	stalled.End(Stalled, now)
	if p.endpoints["e"].currentFailRatio(now) == 0 {
		t.Error("the endpoint answers others and not this request, and does not count as failing")
	}
}
