package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"
)

//go:embed names.json
var namesText []byte

//go:embed config.json
var configText string

//go:embed entry.json
var entryText string

//go:embed settings.jsonc
var settingsText string

// wireNames are the names of the users' platform that the stand-ins use.
type wireNames struct {
	ID       string `json:"id"`
	Deadline string `json:"deadline"`
	Expect   string `json:"expect"`
	Seal     string `json:"seal"`
	Tokens   string `json:"tokens"`
	Parts    string `json:"parts"`
	Model    string `json:"model"`
	Resumes  string `json:"resumes"`
	Limit    string `json:"limit"`
	Report   string `json:"report"`
	Ready    string `json:"ready"`
	Servers  string `json:"servers"`
	Config   string `json:"config"`
}

var names = func() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()

// fill returns a template's text with the fields of data.
func fill(text string, data any) string {
	var b bytes.Buffer
	if err := template.Must(template.New("").Parse(text)).Execute(&b, data); err != nil {
		panic(err)
	}
	return b.String()
}
