package spec

import "jacinthladder.dev/internal/conf/jsonc"

// serviceJSON is the encoded form of a document. Parse fills in the defaults.
type serviceJSON struct {
	Name       string               `json:"name"`
	Kind       Kind                 `json:"kind"`
	Models     []string             `json:"models"`
	Endpoints  []endpointJSON       `json:"endpoints"`
	Prices     pricesJSON           `json:"prices"`
	Budgets    map[string][]string  `json:"budgets"`
	RetryRules []retryRuleJSON      `json:"repeat"`
	Timeouts   timeoutsJSON         `json:"times"`
	Limits     map[string]limitJSON `json:"limits"`
	Priorities map[string]int       `json:"ranks"`
	Tokens     tokensJSON           `json:"tokens"`
	Escrow     escrowJSON           `json:"escrow"`
	Retries    retriesJSON          `json:"retries"`
}

type endpointJSON struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// pricesJSON holds prices in micro-units: per token for model services, per call for
// plain services.
type pricesJSON struct {
	Input  int64 `json:"input"`
	Cached int64 `json:"cached"`
	Output int64 `json:"output"`
	Call   int64 `json:"call"`
}

type retryRuleJSON struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

type timeoutsJSON struct {
	FirstTokenTarget jsonc.Duration `json:"aim"`
	FirstByteTimeout jsonc.Duration `json:"first"`
	StallTimeout     jsonc.Duration `json:"gap"`
	RequestTimeout   jsonc.Duration `json:"total"`
	BudgetTimeout    jsonc.Duration `json:"wait"`
	ReplayTTL        jsonc.Duration `json:"keep"`
}

type limitJSON struct {
	Rate     float64 `json:"rate"`
	InFlight int     `json:"open"`
}

type tokensJSON struct {
	Default int64 `json:"default"`
	Max     int64 `json:"most"`
}

type escrowJSON struct {
	OutageTolerance jsonc.Duration `json:"endure"`
	Unwitnessed     int64          `json:"alone"`
}

type retriesJSON struct {
	Ratio       float64 `json:"ratio"`
	MaxAttempts int     `json:"tries"`
}
