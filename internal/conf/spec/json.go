package spec

import "jacinthladder.dev/internal/conf/jsonc"

// text is the document as written. Defaults are filled in by Parse.
type text struct {
	Name      string              `json:"name"`
	Kind      Kind                `json:"kind"`
	Models    []string            `json:"models"`
	Endpoints []endpointText      `json:"endpoints"`
	Prices    pricesText          `json:"prices"`
	Budgets   map[string][]string `json:"budgets"`
	Repeat    []ruleText          `json:"repeat"`
	Times     timesText           `json:"times"`
	Limits    map[string]limText  `json:"limits"`
	Ranks     map[string]int      `json:"ranks"`
	Tokens    tokensText          `json:"tokens"`
	Escrow    escrowText          `json:"escrow"`
	Retries   retriesText         `json:"retries"`
}

type endpointText struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	Slots int    `json:"slots"`
}

// pricesText is in micro-units: per token for models, per call for plain services.
type pricesText struct {
	Input  int64 `json:"input"`
	Cached int64 `json:"cached"`
	Output int64 `json:"output"`
	Call   int64 `json:"call"`
}

type ruleText struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

type timesText struct {
	Aim   jsonc.Duration `json:"aim"`
	First jsonc.Duration `json:"first"`
	Gap   jsonc.Duration `json:"gap"`
	Total jsonc.Duration `json:"total"`
	Wait  jsonc.Duration `json:"wait"`
	Keep  jsonc.Duration `json:"keep"`
}

type limText struct {
	Rate float64 `json:"rate"`
	Open int     `json:"open"`
}

type tokensText struct {
	Default int64 `json:"default"`
	Most    int64 `json:"most"`
}

type escrowText struct {
	Endure jsonc.Duration `json:"endure"`
	Alone  int64          `json:"alone"`
}

type retriesText struct {
	Ratio float64 `json:"ratio"`
	Tries int     `json:"tries"`
}
