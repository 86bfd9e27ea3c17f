// Package config reads the program's configuration: the JSON file named by GW_CONFIG, with GW_NAME and GW_LISTEN taking
// precedence over the file's name and listen. It checks every value and sets the defaults.
//
// Errors name the faulty key, what was found and what was expected. Unknown keys are ignored. The settings of the overload
// controller are decoded by package settingsjson, which checks only their types and bounds.
//
// Load may run on the same core as an event loop: it reads the file in chunks and yields the processor before each, and its
// memory is one chunk and the decoded values.
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

// Config is the whole configuration.
type Config struct {
	Name        string
	Listen      string // addresses: IP address and port
	Runtime     string
	Catalog     string
	Index       string
	Seed        uint64
	StopTimeout time.Duration // from SIGTERM to SIGKILL
	Cores       float64
	MemoryBytes int64
	MaxSockets  int
	Settings    settings.Settings
}

// ValueError is the error of one key.
type ValueError = settingsjson.ValueError

// Defaults of missing keys.
const (
	defaultSeed        = "1"    // hex digits
	defaultStopMillis  = 3000.0 // the platform's stop timeout
	defaultCores       = 1.0
	defaultMemoryMB    = 192.0
	defaultSocketLimit = 1024.0
)

// Bounds of numbers. Values outside of them are rejected, as they are probably in a wrong unit.
const (
	minStopMillis  = 1
	maxStopMillis  = 3.6e6 // an hour
	minCores       = 0.01
	maxCores       = 1024
	minMemoryMB    = 16
	maxMemoryMB    = 1e6
	minSocketLimit = 64
	maxSocketLimit = 1e6
)

// Load reads the configuration named by the environment. The error is a *ValueError, of the first faulty key.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, &ValueError{Key: "GW_CONFIG", Found: "nothing", Expected: "the path of the configuration file"}
	}
	file, err := os.Open(path)
	if err != nil {
		return Config{}, &ValueError{Key: "GW_CONFIG", Found: err.Error(), Expected: "a file that can be read"}
	}
	defer file.Close()
	d := document{values: map[string]any{}}
	buffered := bufio.NewReaderSize(yieldingReader{file}, readChunkBytes)
	if err := d.decode(json.NewDecoder(buffered)); err != nil {
		return Config{}, fileError(err, path)
	}
	return d.config(getenv)
}

// config checks the document's values and returns the configuration.
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

// RestartKeys returns the sorted keys whose values differ in a later configuration but take effect only after a restart.
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

// hex reads a number of up to 16 hex digits.
func (r *keyReader) hex(key, fallback string) uint64 {
	digits := r.text(key, "", fallback)
	value, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		r.fail(key, strconv.Quote(digits), "up to 16 hex digits")
	}
	return value
}
