package spec

import "jacinthladder.dev/internal/conf/jsonc"

// serviceJSON is the encoded form of a service document. Parse sets the defaults of
// absent fields.
type serviceJSON struct {
	Name       string               `json:"name"`
	Kind       Kind                 `json:"kind"`
	Models     []string             `json:"models"`
	Endpoints  []endpointJSON       `json:"endpoints"`
	Prices     pricesJSON           `json:"prices"`
	Budgets    map[string][]string  `json:"budgets"` // names of the budgets that pay for calls, by client account
	RetryRules []retryRuleJSON      `json:"repeat"`
	Timeouts   timeoutsJSON         `json:"times"`
	Limits     map[string]limitJSON `json:"limits"` // by client account, or AnyAccount
	Priorities map[string]int       `json:"ranks"`  // by client account, or AnyAccount
	Tokens     tokensJSON           `json:"tokens"`
	Escrow     escrowJSON           `json:"escrow"`
	Retries    retriesJSON          `json:"retries"`
}

// endpointJSON is one endpoint of the service. Slots is the number of requests that the
// endpoint runs concurrently.
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

// retryRuleJSON says that calls of a plain service with this HTTP method, and a path that
// matches the pattern Path, may run more than once.
type retryRuleJSON struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// timeoutsJSON holds the timeouts of a service and its target for the first token. The
// methods of Service with the same names explain them.
type timeoutsJSON struct {
	FirstTokenTarget jsonc.Duration `json:"aim"`
	FirstByteTimeout jsonc.Duration `json:"first"`
	StallTimeout     jsonc.Duration `json:"gap"`
	RequestTimeout   jsonc.Duration `json:"total"`
	BudgetTimeout    jsonc.Duration `json:"wait"`
	ReplayTTL        jsonc.Duration `json:"keep"`
}

// limitJSON holds the limits of a client account on the service, in the whole fleet. A
// field of 0 means no limit.
type limitJSON struct {
	Rate     float64 `json:"rate"` // requests per second
	InFlight int     `json:"open"` // concurrent requests
}

// tokensJSON limits the tokens that a call may generate. Default is the value of max_tokens
// for a request that does not set it, and Max is the largest value that a request may set.
type tokensJSON struct {
	Default int64 `json:"default"`
	Max     int64 `json:"most"`
}

// escrowJSON configures the shares that instances hold of the budgets for the service.
type escrowJSON struct {
	OutageTolerance jsonc.Duration `json:"endure"` // how long a share should last while the platform is unreachable
	Unwitnessed     int64          `json:"alone"`  // micro-units that a share may spend beyond what its witnesses have acknowledged
}

// retriesJSON limits the retries of requests to the service.
type retriesJSON struct {
	Ratio       float64 `json:"ratio"` // allowed retries per request, on average
	MaxAttempts int     `json:"tries"` // maximum number of attempts at one request, including the first attempt
}
