package instance

import (
	"encoding/json"
	"fmt"
	"os"

	"thymechute/internal/lab/deployment"
	"thymechute/internal/lab/scale"
)

const (
	unlimited    = 1e9    // quota of a tenant, requests a second
	minimalQuota = 0.001  // quota of the tenant whose limit reloads lift and restore, requests a second
	classSeconds = 30     // latency objective and deadline of every class, long enough that no request expires
	loadClass    = "load" // class of the first route
	maxMemoryMB  = 192    // the platform's limit
	maxSockets   = 1024   // the platform's limit
	stopMillis   = 3000   // from SIGTERM to SIGKILL, by the platform

	callerIdleSeconds = 3600
)

// deploymentPlan is what the measurements vary in the configuration of a program.
type deploymentPlan struct {
	tenants, classes  int
	listen, runtime   string
	catalog           string
	sockets           int
	lastTenantLimited bool    // the last tenant has minimalQuota; requests beyond a quota have no priority weight and are rejected
	shorterObjective  float64 // subtracted from the last class's latency objective, seconds
}

// methodsPerService shapes the classes' names.
const methodsPerService = 12

func tenantName(n int) string { return fmt.Sprintf("tenant-%05d", n) }

// className is the class of the n-th route, from 0.
func className(n int) string {
	if n == 0 {
		return loadClass
	}
	return fmt.Sprintf("service-%03d/method-%02d", n/methodsPerService, n%methodsPerService)
}

// settings are the settings of the deployment's tenants and classes.
func (d deploymentPlan) settings() deployment.Settings {
	overQuotaWeight := 0.0
	s := deployment.NewSettings(scale.TargetMembers)
	s.OverQuotaWeight = &overQuotaWeight
	s.Domain.CallerIdleTimeout = callerIdleSeconds
	s.Domain.CallerCount = scale.TargetCallers
	for n := range d.classes {
		s.AddClass(deployment.Class{Name: className(n), Idempotency: deployment.Safe, PriorityWeight: 1,
			LatencyObjective: classSeconds, Deadline: classSeconds, KeyWindow: classSeconds})
	}
	s.Classes[d.classes-1].LatencyObjective -= d.shorterObjective
	for n := range d.tenants {
		s.Tenants = append(s.Tenants, deployment.Tenant{Name: tenantName(n), Quota: unlimited})
	}
	if d.lastTenantLimited {
		s.Tenants[d.tenants-1].Quota = minimalQuota
	}
	return s
}

// encode encodes the configuration file.
func (d deploymentPlan) encode() ([]byte, error) {
	return json.Marshal(deployment.Configuration{
		Name:       "n1",
		Listen:     d.listen,
		Runtime:    d.runtime,
		Index:      unreachableAddress,
		Directory:  d.catalog,
		Seed:       "1",
		StopMillis: stopMillis,
		Limits:     deployment.Limits{Cores: 1, MemoryMB: maxMemoryMB, Sockets: d.sockets},
		Settings:   d.settings(),
	})
}

// write writes the configuration file.
func (d deploymentPlan) write(path string) error {
	text, err := d.encode()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
