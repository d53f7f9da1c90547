// Package place decides which endpoint a forwarded request goes to.
//
// The idea. Choose is a pure function over what this instance knows at one
// moment: a Need and the candidates. For model engines it predicts the delay of
// the first token from the prompt tokens that wait to be read there, those that
// the engine still has cached, and the requests that run. For plain services it
// compares how full the endpoints are. Zones count as a delay, since bytes
// between them are dear.
//
// It answers a load of many requests that share parts of prompts, on engines
// that slow down as they fill, where some engines fail or fall silent.
package place
