// Package config reads the program's configuration from the JSON file that GW_CONFIG names. GW_NAME and GW_LISTEN override
// the keys name and listen of the file. Every value is validated, and missing keys get their defaults.
//
// Errors name the invalid key, what was found and what was expected. Unknown keys are ignored. The settings of the overload
// controller are decoded by package settingsjson, which checks only their types and bounds.
//
// Load may share a core with an event loop. It therefore reads the file in chunks, yields the processor before each chunk, and
// holds only one chunk and the decoded values in memory.
package config

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"time"

	"thymechute/internal/settingsjson"
	"thymechute/policy/settings"
)

// Config is the complete configuration of the program.
type Config struct {
	Name        string
	Listen      string // Listen, Runtime, Catalog and Index are an IP address and a port
	Runtime     string
	Catalog     string
	Index       string
	Seed        uint64
	StopTimeout time.Duration // from SIGTERM to SIGKILL, by the platform
	Cores       float64
	MemoryBytes int64
	MaxSockets  int
	Settings    settings.Settings
}

// ValueError reports the invalid value of one key.
type ValueError = settingsjson.ValueError

// Defaults of missing keys.
const (
	defaultSeed        = "1"    // hex digits
	defaultStopMillis  = 3000.0 // the platform's stop timeout
	defaultCores       = 1.0
	defaultMemoryMB    = 192.0
	defaultSocketLimit = 1024.0
)

// Bounds of numbers. A value outside them is rejected, as it is probably given in the wrong unit.
const (
	minStopMillis  = 1
	maxStopMillis  = 3.6e6 // one hour
	minCores       = 0.01
	maxCores       = 1024
	minMemoryMB    = 16
	maxMemoryMB    = 1e6
	minSocketLimit = 64
	maxSocketLimit = 1e6
)

// Load reads the configuration file that the environment names. The error is a *ValueError for the first invalid key.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, &ValueError{Key: "GW_CONFIG", Found: "an unset or empty environment variable",
			Expected: "the path of the configuration file"}
	}
	file, err := os.Open(path)
	if err != nil {
		return Config{}, &ValueError{Key: "GW_CONFIG", Found: err.Error(), Expected: "a readable file"}
	}
	defer file.Close()
	d := document{values: map[string]any{}}
	buffered := bufio.NewReaderSize(yieldingReader{file}, readChunkBytes)
	if err := d.decode(json.NewDecoder(buffered)); err != nil {
		return Config{}, fileError(err, path)
	}
	return d.config(getenv)
}

// config validates the document's values and returns the configuration.
func (d *document) config(getenv func(string) string) (c Config, err error) {
	keys := &keyReader{values: d.values}
	limits := &keyReader{prefix: "limits.", values: keys.object("limits")}
	c.Name = keys.text("name", getenv("GW_NAME"), "")
	c.Listen = keys.address("listen", getenv("GW_LISTEN"))
	c.Runtime = keys.address("runtime", "")
	c.Catalog = keys.address("directory", "")
	c.Index = keys.address("index", "")
	c.Seed = keys.hex("seed", defaultSeed)
	stopMillis := keys.number("stop_ms", defaultStopMillis, minStopMillis, maxStopMillis)
	c.StopTimeout = time.Duration(stopMillis * float64(time.Millisecond))
	c.Cores = limits.number("cores", defaultCores, minCores, maxCores)
	c.MemoryBytes = int64(limits.number("memory_mb", defaultMemoryMB, minMemoryMB, maxMemoryMB) * (1 << 20))
	c.MaxSockets = int(limits.number("sockets", defaultSocketLimit, minSocketLimit, maxSocketLimit))
	c.Settings = d.settings
	d.checkSettings(keys)
	if keys.err != nil {
		return c, keys.err
	}
	return c, limits.err
}

// RestartKeys returns, sorted, the keys whose values differ in a later configuration and take effect only after a restart.
func (c Config) RestartKeys(later Config) (keys []string) {
	for key, isSame := range map[string]bool{
		"name":    c.Name == later.Name,
		"listen":  c.Listen == later.Listen,
		"stop_ms": c.StopTimeout == later.StopTimeout,
		"limits":  c.Cores == later.Cores && c.MemoryBytes == later.MemoryBytes && c.MaxSockets == later.MaxSockets,
	} {
		if !isSame {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// hex returns the number that a string of up to 16 hex digits stands for.
func (r *keyReader) hex(key, defaultValue string) uint64 {
	digits := r.text(key, "", defaultValue)
	value, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		r.fail(key, strconv.Quote(digits), "up to 16 hex digits")
	}
	return value
}
