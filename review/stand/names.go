package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// dataFolder holds the data files of the stand-ins, relative to the root of the repository.
const dataFolder = "review/stand"

// names are the names of the users' wire, by what they stand for here.
type names map[string]string

// loadNames reads the names of the wire.
func loadNames() (names, error) {
	data, err := os.ReadFile(filepath.Join(dataFolder, "names.json"))
	if err != nil {
		return nil, err
	}
	n := names{}
	return n, json.Unmarshal(data, &n)
}

// fill reads a data file and replaces each @name@ in it by a value.
func fill(file string, values map[string]any) (json.RawMessage, error) {
	data, err := os.ReadFile(filepath.Join(dataFolder, file))
	if err != nil {
		return nil, err
	}
	text := string(data)
	for name, v := range values {
		text = strings.ReplaceAll(text, "@"+name+"@", fmt.Sprint(v))
	}
	if !json.Valid([]byte(text)) {
		return nil, fmt.Errorf("%s is not valid JSON once it is filled in", file)
	}
	return json.RawMessage(text), nil
}
