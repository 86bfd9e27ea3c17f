package instance

import (
	"encoding/json"
	"fmt"
	"os"

	"thymechute/internal/lab/deployment"
	"thymechute/internal/lab/scale"
)

const (
	unlimited        = 1e9    // quota of a tenant without a limit, requests per second
	minimalQuota     = 0.001  // quota of the tenant whose limit is lifted and restored by reloads, requests per second
	objectiveSeconds = 30     // latency objective, deadline and key window of every class; long enough that no request expires
	loadClass        = "load" // class name of the first route
	maxMemoryMB      = 192    // the platform's limit
	maxSockets       = 1024   // the platform's limit
	stopMillis       = 3000   // from SIGTERM to SIGKILL, by the platform

	callerIdleSeconds = 3600
)

// deploymentPlan is the part of a program's configuration that the measurements vary.
type deploymentPlan struct {
	tenants, classes  int
	listen, runtime   string
	catalog           string
	sockets           int
	lastTenantLimited bool    // whether the last tenant has minimalQuota; requests over quota have no priority weight and are rejected
	shorterObjective  float64 // seconds subtracted from the last class's latency objective
}

// methodsPerService is the number of classes that share a service in their names.
const methodsPerService = 12

func tenantName(n int) string { return fmt.Sprintf("tenant-%05d", n) }

// className returns the class of the n-th route, counted from 0.
func className(n int) string {
	if n == 0 {
		return loadClass
	}
	return fmt.Sprintf("service-%03d/method-%02d", n/methodsPerService, n%methodsPerService)
}

// settings returns the settings with the plan's tenants and classes.
func (d deploymentPlan) settings() deployment.Settings {
	overQuotaWeight := 0.0
	s := deployment.NewSettings(scale.TargetMembers)
	s.OverQuotaWeight = &overQuotaWeight
	s.Domain.CallerIdleTimeout = callerIdleSeconds
	s.Domain.CallerCount = scale.TargetCallers
	for n := range d.classes {
		s.AddClass(deployment.Class{Name: className(n), Idempotency: deployment.Safe, PriorityWeight: 1,
			LatencyObjective: objectiveSeconds, Deadline: objectiveSeconds, KeyWindow: objectiveSeconds})
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
