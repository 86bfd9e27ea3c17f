// This file owns the state that a late follower is handed, at its real size.

package raftlog

import (
	"encoding/json"
	"fmt"

	"thymechute/internal/lab/scale"
)

// tenant and route are settings as the operator's file has them, in JSON.
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

// State is the settings of so many tenants, and of routes in the target's proportion; empty for none.
func State(tenants int) []byte {
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
		state.Routes = append(state.Routes, route{fmt.Sprintf("route-%04d", n), fmt.Sprintf("service-%03d", n%scale.TargetCallerGroups), "gold"})
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		panic(err) // of plain strings and numbers
	}
	return encoded
}
