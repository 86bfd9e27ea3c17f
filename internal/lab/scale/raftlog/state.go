package raftlog

import (
	"encoding/json"
	"fmt"

	"thymechute/internal/lab/scale"
)

// tenant and route are settings as in the operator's file, encoded as JSON.
type tenant struct {
	Name  string  `json:"name"`
	Class string  `json:"class"`
	Rate  float64 `json:"rate"`
}

type route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Class   string `json:"class"`
}

// EncodeSettings returns encoded settings with that many tenants and a proportional number of routes, as at the target size; nil for
// no tenants.
func EncodeSettings(tenants int) []byte {
	if tenants == 0 {
		return nil
	}
	var state struct {
		Tenants []tenant `json:"tenants"`
		Routes  []route  `json:"routes"`
	}
	for n := range tenants {
		state.Tenants = append(state.Tenants, tenant{fmt.Sprintf("tenant-%05d", n), "gold", float64(n % 997)})
	}
	for n := range tenants * scale.TargetRoutes / scale.TargetTenants {
		service := fmt.Sprintf("service-%03d", n%scale.TargetCallerGroups)
		state.Routes = append(state.Routes, route{fmt.Sprintf("route-%04d", n), service, "gold"})
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		panic(err) // unreachable: strings and finite numbers can always be encoded
	}
	return encoded
}
