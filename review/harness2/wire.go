//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// wireNames are the platform's names on the wire. Outside of package platform, Go code does not contain them.
//
//go:embed wire.json
var wireNames []byte

// wire maps what the player and its stand-ins use to the platform's names.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err) // The file is part of the program.
	}
	return names
}()
