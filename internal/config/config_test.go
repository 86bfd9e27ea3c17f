package config

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

// load passes a complete configuration to change, and loads the result from a file.
func load(t *testing.T, change func(file, limits map[string]any)) (Config, error) {
	t.Helper()
	limits := map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 128, "unheard": 1}
	file := map[string]any{"name": "n3", "listen": "127.0.0.1:80", "runtime": "127.0.0.1:81", "index": "127.0.0.1:82",
		"directory": "127.0.0.1:83", "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": limits,
		"settings": testutil.Settings(), "unheard": []any{}}
	change(file, limits)
	text, _ := json.Marshal(file)
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_LISTEN": "127.0.0.4:8080"}[name]
	})
}

func TestAllKeysAreRead(t *testing.T) {
	c, err := load(t, func(_, limits map[string]any) { delete(limits, "sockets") })
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.4:8080" || c.Seed != 0x8c1f30d27a5be964 ||
		c.StopTimeout != 3200*time.Millisecond || c.Cores != 0.5 || c.MemoryBytes != 64<<20 || c.MaxSockets != defaultSocketLimit {
		t.Errorf("error %v, got %+v", err, c)
	}
	if s := c.Settings; s.Classes[1].Name != "excursion" || s.Classes[1].Idempotency != settings.Idempotent || s.Server.Cores != settings.NumberOf(4) ||
		s.Classes[2].MakesCalls != settings.True || s.Tenants[0].Name != "acme" || s.Server.RunnableGauge != 2 {
		t.Errorf("settings: got %+v", s)
	}
}

// domain returns the domain object of the settings.
func domain(file map[string]any) map[string]any {
	return file["settings"].(map[string]any)["domain"].(map[string]any)
}

func TestErrorsNameTheirKey(t *testing.T) {
	for key, change := range map[string]func(file, limits map[string]any){
		"name":                          func(f, _ map[string]any) { delete(f, "name") },
		"runtime":                       func(f, _ map[string]any) { f["runtime"] = "localhost:1" },
		"directory":                     func(f, _ map[string]any) { f["directory"] = "127.0.0.1:0" },
		"index":                         func(f, _ map[string]any) { f["index"] = 5 },
		"seed":                          func(f, _ map[string]any) { f["seed"] = "no hex" },
		"stop_ms":                       func(f, _ map[string]any) { f["stop_ms"] = -1 },
		"limits":                        func(f, _ map[string]any) { f["limits"] = "all" },
		"limits.memory_mb":              func(_, l map[string]any) { l["memory_mb"] = 1e12 },
		"limits.cores":                  func(_, l map[string]any) { l["cores"] = "one" },
		"settings":                      func(f, _ map[string]any) { delete(f, "settings") },
		"settings.domain.halt":          func(f, _ map[string]any) { domain(f)["halt"] = "drop" },
		"settings.domain.say":           func(f, _ map[string]any) { domain(f)["say"] = 1 },
		"settings.domain.readiness":     func(f, _ map[string]any) { domain(f)["readiness"] = "yes" },
		"settings.domain.caller_idle_s": func(f, _ map[string]any) { domain(f)["caller_idle_s"] = -1 },
		"settings.domain.dep_share":     func(f, _ map[string]any) { domain(f)["dep_share"] = "0.5" },
		"settings.classes":              func(f, _ map[string]any) { f["settings"] = map[string]any{"classes": []any{}} },
	} {
		_, err := load(t, change)
		var invalid *ValueError
		if !errors.As(err, &invalid) || invalid.Key != key || invalid.Expected == "" || invalid.Found == "" {
			t.Errorf("%s: got error %v", key, err)
		}
	}
	for _, path := range []string{"", "/nowhere", os.DevNull} {
		if _, err := Load(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }); err == nil {
			t.Errorf("Load accepts GW_CONFIG=%q", path)
		}
	}
}
