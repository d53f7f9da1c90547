// Package place computes which endpoint a forwarded request goes to.
//
// Best is a pure function of a Request and the candidates as this instance knows
// them. For model engines, the cost of a candidate predicts the delay of the first
// token from the prompt tokens queued at the engine, the prompt tokens of the
// request that the engine has cached, and the number of requests that it runs. For
// plain services, the cost grows with the fraction of slots in use. An endpoint in
// another zone has an additional cost, because traffic between zones is expensive.
//
// The cost is designed for loads in which many requests share parts of their
// prompts. It assumes engines that slow down as they fill, and of which some fail or
// stop responding.
package place
