package permit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time for which unused permits are kept for later requests, besides
	// minBurst permits.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// minRate is the lowest rate, in permits per second, at which a bucket fills. Without a
	// request now and then nobody would learn that a rate of almost 0 no longer holds.
	minRate = 0.2
	// maxRate bounds the rate in permits per second.
	maxRate = 1e6
	// rateTTL is how long a bucket uses the lowest rate that it was asked for. Until then
	// some processes may not have heard of it.
	rateTTL = time.Second
	// bucketTTL is how long an unused bucket is kept.
	bucketTTL = time.Minute
	// maxBuckets is the largest number of buckets that one process keeps.
	maxBuckets = 8192
)

// bucket is the token bucket of one key.
type bucket struct {
	limiter *rate.Limiter
	rate    float64   // lowest rate asked for within rateTTL, permits per second
	rateAt  time.Time // when the bucket was last asked for this rate or a lower one
	usedAt  time.Time
}

// newBucket returns an empty bucket.
func newBucket(perSecond float64, now time.Time) *bucket {
	b := &bucket{limiter: rate.NewLimiter(minRate, 1), rate: perSecond, rateAt: now}
	b.limiter.AllowN(now, 1)
	return b
}

// take takes a permit, or returns the time until there is one. The bucket fills at a
// fraction of the rate perSecond.
func (b *bucket) take(perSecond, fraction float64, now time.Time) time.Duration {
	if perSecond <= b.rate || now.Sub(b.rateAt) > rateTTL {
		b.rate, b.rateAt = perSecond, now
	}
	b.usedAt = now
	fill := min(max(b.rate*fraction, minRate), maxRate)
	b.limiter.SetLimitAt(now, rate.Limit(fill))
	b.limiter.SetBurstAt(now, minBurst+int(fill*burstTime.Seconds()))
	r := b.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
